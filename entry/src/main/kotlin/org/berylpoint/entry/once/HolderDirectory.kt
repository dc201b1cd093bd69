package org.berylpoint.entry.once

import arrow.core.Either
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.Json
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.Instance
import org.berylpoint.peer.PeerError
import org.berylpoint.peer.PeerMessage
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The directory of instances that hold at-most-once records, stored as rows `holders/<instance>`.
 *
 * If all entry instances stop at the same time, no running member remembers them. New instances find the holders of
 * unfinished records in this directory.
 */
internal class HolderDirectory(
    private val context: NodeContext,
    private val view: StateFlow<MembershipView>,
    private val table: TableService,
) {
    private val registrationMutex = Mutex()
    private var isRegistered = false

    /** Adds this instance; required before it accepts its first request. Returns false if the write fails. */
    suspend fun register(): Boolean = isRegistered ||
        registrationMutex.withLock {
            if (!isRegistered) {
                val value = Json.encodeToString(Instance.serializer(), context.self)
                isRegistered = table.transact(listOf(RowWrite.Put(keyOf(context.self), value, null))).isRight()
            }
            isRegistered
        }

    /** Returns a page of the listed instances, in order of their ids, that follow the id [after]. */
    suspend fun list(after: String): Either<PlatformError, List<Instance>> = table.query(PARTITION, after).map { rows ->
        rows.map { Json.decodeFromString(Instance.serializer(), it.value) }
    }

    /** Removes a departed instance that has no unfinished records left. */
    suspend fun remove(holder: Instance): Either<PlatformError, Unit> =
        table.transact(listOf(RowWrite.Delete(keyOf(holder))))

    /**
     * Whether [holder] is confirmed departed. An instance unknown to the membership is probed: only a refused
     * connection confirms its departure, a timeout does not.
     */
    suspend fun isConfirmedDeparted(holder: Instance): Boolean {
        val membership = view.value
        if (holder.id in membership.departed) return true
        if (holder.id in membership.members) return false
        val probe = PeerMessage.FetchCatalogue(Long.MAX_VALUE)
        return context.peers.call(holder.peerAddress, probe, PROBE_TIMEOUT).leftOrNull() == PeerError.Refused
    }

    private fun keyOf(instance: Instance) = RowKey(PARTITION, instance.id.value)

    private companion object {
        const val PARTITION = "holders"
        val PROBE_TIMEOUT: Duration = 1.seconds
    }
}
