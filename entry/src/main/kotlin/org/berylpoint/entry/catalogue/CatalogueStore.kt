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

/** What was read: a catalogue, and the updates since the base of the reading when there was one. */
internal class LoadedCatalogue(val catalogue: Catalogue, val updates: List<CatalogueUpdate>)

/** Reads and commits the catalogue in the table service and the object store. */
internal class CatalogueStore(
    private val table: TableService,
    private val objects: ObjectStore,
    private val time: TimeSource.WithComparableMarks,
) {
    /** The newest version in the table; 0 before the first. */
    suspend fun headVersion(): Either<PlatformError, Long> =
        bounded { table.get(CatalogueRows.headKey) }.map { it?.version ?: 0 }

    /**
     * Reads what follows [base], or everything when it is null.
     *
     * Reads may lag: the result ends before the first change that is missing, and so may be older than the head.
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
            val rows = bounded { table.query(CatalogueRows.CHANGE_PARTITION, after, PAGE) }.bind()
            val next = rows.map { decode(it).update }
                .withIndex()
                .takeWhile { (index, update) -> update.expectedVersion == version + updates.size + index }
                .map { it.value }
            if (next.isEmpty()) break
            updates += next
        }
        return updates
    }

    /** Older snapshots serve too: the changes since are read from the table, which keeps them all. */
    private suspend fun newestSnapshot(head: Long, above: Long): Catalogue? {
        val newest = head / CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS * CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS
        for (version in newest downTo above + 1 step CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS) {
            if (newest - version > SNAPSHOTS_TRIED * CatalogueRows.SNAPSHOT_INTERVAL_VERSIONS) return null
            val content = bounded { objects.get(CatalogueRows.snapshotKey(version)) }.getOrElse { return null } ?: continue
            try {
                return CatalogueRows.json.decodeFromString<Catalogue>(content)
            } catch (e: SerializationException) {
                log.error(e) { "catalogue: snapshot $version can't be decoded" }
            }
        }
        return null
    }

    /** Writes the snapshot of [catalogue]; without it, reading from the start takes longer. */
    suspend fun writeSnapshot(catalogue: Catalogue) {
        val content = CatalogueRows.json.encodeToString(Catalogue.serializer(), catalogue)
        repeat(SNAPSHOT_ATTEMPTS) { attempt ->
            if (bounded { objects.put(CatalogueRows.snapshotKey(catalogue.version), content) }.isRight()) return
            delay(SNAPSHOT_BACKOFF * (attempt + 1))
        }
        log.warn { "catalogue: snapshot ${catalogue.version} could not be written" }
    }

    /**
     * Commits [update] as the version after the one it expects.
     *
     * A lost answer is resolved by repeating the same conditional write, which takes effect at most once, and by
     * reading [token] back from the change row.
     */
    suspend fun commit(update: CatalogueUpdate, token: String): Either<Problem, Long> {
        val version = update.expectedVersion + 1
        val content = CatalogueRows.json.encodeToString(StoredChange.serializer(), StoredChange(token, update))
        if (content.encodeToByteArray().size > CatalogueRows.MAX_CHANGE_BYTES) {
            val limit = "at most ${CatalogueRows.MAX_CHANGE_BYTES} bytes; split it"
            return Problem(ErrorKind.InvalidCatalogue, "the update is larger than a row: expected $limit").left()
        }
        val writes = listOf(
            RowWrite.Put(CatalogueRows.changeKey(version), content, expected = 0),
            RowWrite.Put(CatalogueRows.headKey, """{"version":$version}""", expected = update.expectedVersion),
        )
        return commit(writes, version, token, time.markNow() + COMMIT_TIME)
    }

    private suspend fun commit(
        writes: List<RowWrite>,
        version: Long,
        token: String,
        end: ComparableTimeMark,
    ): Either<Problem, Long> {
        var mayHaveTakenEffect = false
        while (end.hasNotPassedNow()) {
            val error = bounded { table.transact(writes) }.fold({ it }, { return version.right() })
            when (error) {
                is PlatformError.ConditionFailed -> return resolve(
                    version,
                    token,
                    end,
                    isChangeThere =
                    0 in error.failed,
                )

                is PlatformError.Invalid -> return Problem(ErrorKind.Internal, error.detail).left()

                is PlatformError.NoAnswer -> mayHaveTakenEffect = true

                is PlatformError.Unavailable ->
                    if (!mayHaveTakenEffect) return Problem(ErrorKind.StoreUnavailable, error.detail).left()
            }
            log.info { "catalogue: the answer to the commit of version $version is lost, repeating it" }
            delay(RETRY_DELAY)
        }
        return unknown(version)
    }

    private suspend fun resolve(
        version: Long,
        token: String,
        end: ComparableTimeMark,
        isChangeThere: Boolean,
    ): Either<Problem, Long> {
        // Each commit puts both rows, so a change row that is absent was not put by this commit either.
        if (!isChangeThere) return conflict(version)
        while (end.hasNotPassedNow()) {
            val row = bounded { table.get(CatalogueRows.changeKey(version)) }.getOrElse { null }
            if (row != null) return if (decode(row).token == token) version.right() else conflict(version)
            delay(RETRY_DELAY)
        }
        return unknown(version)
    }

    private fun conflict(version: Long): Either<Problem, Long> =
        Problem(ErrorKind.VersionConflict, "version $version was committed by another update").left()

    private fun unknown(version: Long): Either<Problem, Long> = Problem(
        ErrorKind.OutcomeUnknown,
        "the table service did not answer within $COMMIT_TIME; version $version may still take force",
    ).left()

    private fun decode(row: Row): StoredChange = CatalogueRows.json.decodeFromString(row.value)

    private suspend fun <T> bounded(call: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> =
        withTimeoutOrNull(CALL_TIMEOUT) { call() }
            ?: PlatformError.NoAnswer("no answer within $CALL_TIMEOUT").left()

    private companion object {
        /** Reads and writes of the table take a few milliseconds; a relay through a peer adds some more. */
        val CALL_TIMEOUT: Duration = 2.seconds

        /** An operator's call waits this long for a commit whose answers are lost. */
        val COMMIT_TIME: Duration = 15.seconds
        val RETRY_DELAY: Duration = 200.milliseconds
        val SNAPSHOT_BACKOFF: Duration = 2.seconds
        const val SNAPSHOT_ATTEMPTS = 10
        const val SNAPSHOTS_TRIED = 5
        const val PAGE = 100
    }
}
