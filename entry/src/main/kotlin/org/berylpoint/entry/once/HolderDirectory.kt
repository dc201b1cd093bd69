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
 * The instances that hold records, as rows `holders/<instance>`.
 *
 * After all entry instances have ended at once no survivor knows them; their successors find them here.
 */
internal class HolderDirectory(
    private val context: NodeContext,
    private val view: StateFlow<MembershipView>,
    private val table: TableService,
) {
    private val registering = Mutex()
    private var isRegistered = false

    /** Lists this instance before it accepts its first request; false when the table service can't be reached. */
    suspend fun register(): Boolean = isRegistered ||
        registering.withLock {
            if (!isRegistered) {
                val value = Json.encodeToString(Instance.serializer(), context.self)
                isRegistered = table.transact(listOf(RowWrite.Put(keyOf(context.self), value, null))).isRight()
            }
            isRegistered
        }

    /** The listed instances after the instance id [after]. */
    suspend fun list(after: String): Either<PlatformError, List<Instance>> = table.query(PARTITION, after).map { rows ->
        rows.map { Json.decodeFromString(Instance.serializer(), it.value) }
    }

    /** Takes an instance that is gone and holds nothing any more off the list. */
    suspend fun remove(holder: Instance): Either<PlatformError, Unit> =
        table.transact(listOf(RowWrite.Delete(keyOf(holder))))

    /** Whether [holder] is confirmed gone. One that is no known member is asked; silence confirms nothing. */
    suspend fun isConfirmedDeparted(holder: Instance): Boolean {
        val known = view.value
        if (holder.id in known.departed) return true
        if (holder.id in known.members) return false
        val probe = PeerMessage.FetchCatalogue(Long.MAX_VALUE)
        return context.peers.call(holder.peerAddress, probe, PROBE_TIMEOUT).leftOrNull() == PeerError.Refused
    }

    private fun keyOf(instance: Instance) = RowKey(PARTITION, instance.id.value)

    private companion object {
        const val PARTITION = "holders"
        val PROBE_TIMEOUT: Duration = 1.seconds
    }
}
