package org.berylpoint.entry.catalogue

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.platform.ObjectStore
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/** A catalogue that was read, and the [updates] that were applied to the base or snapshot to get it. */
internal class LoadedCatalogue(val catalogue: Catalogue, val updates: List<CatalogueUpdate>)

/** Reads and commits the catalogue in the table service and the object store. */
internal class CatalogueStore(
    private val table: TableService,
    private val objects: ObjectStore,
    private val time: TimeSource.WithComparableMarks,
) {
    /** The newest version in the table; 0 before the first commit. */
    suspend fun headVersion(): Either<PlatformError, Long> =
        withCallTimeout { table.get(CatalogueRows.headKey) }.map { it?.version ?: 0 }

    /**
     * Reads the changes after [base] and applies them. Without a base, or if it is more than
     * [CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS] behind the head, reading starts from the newest snapshot, if any.
     *
     * Reads of the table may be stale: the result ends before the first missing change, so it may be older than the
     * head.
     */
    suspend fun load(base: Catalogue?): Either<PlatformError, LoadedCatalogue> = either {
        val head = headVersion().bind()
        val start = if (base == null || head - base.version > CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS) {
            newestSnapshot(head, base?.version ?: 0) ?: base ?: Catalogue()
        } else {
            base
        }
        val updates = changesAfter(start.version, head)
        LoadedCatalogue(updates.fold(start) { catalogue, update -> catalogue.replay(update) }, updates)
    }

    private suspend fun Raise<PlatformError>.changesAfter(version: Long, head: Long): List<CatalogueUpdate> {
        val updates = mutableListOf<CatalogueUpdate>()
        while (version + updates.size < head) {
            val after = CatalogueRows.sortKey(version + updates.size)
            val rows = withCallTimeout { table.query(CatalogueRows.CHANGE_PARTITION, after, QUERY_PAGE_ROWS) }.bind()
            val next = rows.map { decode(it).update }
                .withIndex()
                .takeWhile { (index, update) -> update.expectedVersion == version + updates.size + index }
                .map { it.value }
            if (next.isEmpty()) break
            updates += next
        }
        return updates
    }

    /**
     * The newest readable snapshot up to version [head] and above [above].
     *
     * If the newest one is missing or damaged, up to [MAX_OLDER_SNAPSHOTS] older ones are tried: the changes since then
     * are read from the table, which keeps all of them. Null if there is none or the object store fails.
     */
    private suspend fun newestSnapshot(head: Long, above: Long): Catalogue? {
        val newest = head / CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS * CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS
        for (version in newest downTo above + 1 step CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS) {
            if (newest - version > MAX_OLDER_SNAPSHOTS * CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS) return null
            val content = withCallTimeout { objects.get(CatalogueRows.snapshotKey(version)) }
                .getOrElse { return null } ?: continue
            try {
                return CatalogueRows.json.decodeFromString<Catalogue>(content)
            } catch (e: SerializationException) {
                log.error(e) { "catalogue: snapshot $version can't be decoded" }
            }
        }
        return null
    }

    /** Writes a snapshot of [catalogue]; if that fails, only reading without a base takes longer. */
    suspend fun writeSnapshot(catalogue: Catalogue) {
        val content = CatalogueRows.json.encodeToString(Catalogue.serializer(), catalogue)
        repeat(SNAPSHOT_ATTEMPTS) { attempt ->
            if (withCallTimeout { objects.put(CatalogueRows.snapshotKey(catalogue.version), content) }.isRight()) return
            delay(SNAPSHOT_BACKOFF * (attempt + 1))
        }
        log.warn { "catalogue: snapshot ${catalogue.version} could not be written" }
    }

    /**
     * Commits [update] as the version that follows the one it expects, and returns the new version.
     *
     * If the response is lost, the same conditional write is repeated; it takes effect at most once. If its condition
     * fails, the token in the change row shows whether this commit or another one wrote it.
     */
    suspend fun commit(update: CatalogueUpdate, token: String): Either<Problem, Long> {
        val version = update.expectedVersion + 1
        val content = CatalogueRows.json.encodeToString(StoredChange.serializer(), StoredChange(token, update))
        if (content.encodeToByteArray().size > CatalogueRows.MAX_CHANGE_BYTES) {
            val limit = "at most ${CatalogueRows.MAX_CHANGE_BYTES} bytes; split it"
            return Problem(ErrorKind.InvalidCatalogue, "the update is too large for a row: expected $limit").left()
        }
        val writes = listOf(
            RowWrite.Put(CatalogueRows.changeKey(version), content, expected = 0),
            RowWrite.Put(CatalogueRows.headKey, """{"version":$version}""", expected = update.expectedVersion),
        )
        return commit(writes, version, token, time.markNow() + COMMIT_TIMEOUT)
    }

    private suspend fun commit(
        writes: List<RowWrite>,
        version: Long,
        token: String,
        deadline: ComparableTimeMark,
    ): Either<Problem, Long> {
        var mayHaveTakenEffect = false
        while (deadline.hasNotPassedNow()) {
            val error = withCallTimeout { table.transact(writes) }.fold({ it }, { return version.right() })
            when (error) {
                is PlatformError.ConditionFailed ->
                    return resolveFailedCondition(version, token, deadline, isChangeRowPresent = 0 in error.failed)

                is PlatformError.Invalid -> return Problem(ErrorKind.Internal, error.detail).left()

                is PlatformError.NoAnswer -> mayHaveTakenEffect = true

                is PlatformError.Unavailable ->
                    if (!mayHaveTakenEffect) return Problem(ErrorKind.StoreUnavailable, error.detail).left()
            }
            log.info { "catalogue: the table service did not confirm the commit of version $version; repeating it" }
            delay(RETRY_DELAY)
        }
        return unknownOutcome(version)
    }

    /** Determines whether a commit whose condition failed had taken effect in an earlier attempt. */
    private suspend fun resolveFailedCondition(
        version: Long,
        token: String,
        deadline: ComparableTimeMark,
        isChangeRowPresent: Boolean,
    ): Either<Problem, Long> {
        // A commit writes both rows in one transaction: without the change row, this commit has not taken effect.
        if (!isChangeRowPresent) return conflict(version)
        while (deadline.hasNotPassedNow()) {
            val row = withCallTimeout { table.get(CatalogueRows.changeKey(version)) }.getOrElse { null }
            if (row != null) return if (decode(row).token == token) version.right() else conflict(version)
            delay(RETRY_DELAY)
        }
        return unknownOutcome(version)
    }

    private fun conflict(version: Long): Either<Problem, Long> =
        Problem(ErrorKind.VersionConflict, "version $version was committed by another update").left()

    private fun unknownOutcome(version: Long): Either<Problem, Long> = Problem(
        ErrorKind.OutcomeUnknown,
        "the table service did not answer within $COMMIT_TIMEOUT; version $version may still come into force",
    ).left()

    private fun decode(row: Row): StoredChange = CatalogueRows.json.decodeFromString(row.value)

    private suspend fun <T> withCallTimeout(call: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> =
        withTimeoutOrNull(CALL_TIMEOUT) { call() }
            ?: PlatformError.NoAnswer("no answer within $CALL_TIMEOUT").left()

    private companion object {
        /** A table call takes a few milliseconds, and some more if a peer relays it. */
        val CALL_TIMEOUT: Duration = 2.seconds

        /** Limits how long an operator's call waits for a commit whose responses are lost. */
        val COMMIT_TIMEOUT: Duration = 15.seconds
        val RETRY_DELAY: Duration = 200.milliseconds
        val SNAPSHOT_BACKOFF: Duration = 2.seconds
        const val SNAPSHOT_ATTEMPTS = 10
        const val MAX_OLDER_SNAPSHOTS = 5
        const val QUERY_PAGE_ROWS = 100
    }
}
