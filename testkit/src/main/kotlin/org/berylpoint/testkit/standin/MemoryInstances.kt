package org.berylpoint.testkit.standin

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.EntryName
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.InstanceList
import org.berylpoint.platform.InstanceStatus
import org.berylpoint.platform.ListedInstance
import org.berylpoint.platform.PlatformError
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * The platform's instance list in memory. Readers see changes [lag] later, except for the time left of a leaving
 * instance, which is counted to the reading.
 */
public class MemoryInstances(
    private val time: TimeSource.WithComparableMarks,
    scope: CoroutineScope? = null,
    public val faults: Faults = Faults(scope),
) : InstanceList {
    private val lock = Any()
    private val changes = mutableListOf<Change>()

    /** How much later than the truth the list is. */
    @Volatile
    public var lag: Duration = Duration.ZERO

    /** The list as [caller] sees it, with the faults set for that caller. */
    public fun caller(caller: InstanceId): InstanceList = object : InstanceList {
        override suspend fun read() = read(caller)
    }

    /** Lists an entry instance, or changes its address or status. */
    public fun put(id: InstanceId, peerAddress: String, status: InstanceStatus = InstanceStatus.Running): Unit =
        put(ListedInstance.Entry(id, peerAddress, status))

    /** Lists a backend server, or changes its entry or status. */
    public fun put(entry: EntryName, server: BackendServer, status: InstanceStatus = InstanceStatus.Running): Unit =
        put(ListedInstance.Backend(entry, server, status))

    /** Changes the status of a listed entry instance. */
    public fun setStatus(id: InstanceId, status: InstanceStatus): Unit = setStatus(id.value, status)

    /** Changes the status of a listed backend server. */
    public fun setStatus(id: BackendServerId, status: InstanceStatus): Unit = setStatus(id.value, status)

    /** Takes an instance off the list. */
    public fun remove(name: String): Unit = synchronized(lock) { changes += Change(time.markNow(), name, null) }

    /** The list without lag, faults and counting. */
    public val content: List<ListedInstance> get() = listAt(time.markNow())

    override suspend fun read(): Either<PlatformError, List<ListedInstance>> = read(null)

    private suspend fun read(caller: InstanceId?): Either<PlatformError, List<ListedInstance>> =
        faults.apply(StandInCall("list", false, caller)) { listAt(time.markNow() - lag).right() }

    private fun put(listed: ListedInstance): Unit = synchronized(lock) {
        changes += Change(time.markNow(), listed.name, listed)
    }

    private fun setStatus(name: String, status: InstanceStatus): Unit = synchronized(lock) {
        when (val last = changes.last { it.name == name }.listed) {
            is ListedInstance.Entry -> put(last.copy(status = status))
            is ListedInstance.Backend -> put(last.copy(status = status))
            null -> error("$name is not listed")
        }
    }

    private fun listAt(mark: ComparableTimeMark): List<ListedInstance> = synchronized(lock) {
        val seen = linkedMapOf<String, Change>()
        changes.filter { it.since <= mark }.forEach { seen[it.name] = it }
        seen.values.mapNotNull { it.listed?.countedFrom(it.since) }
    }

    private fun ListedInstance.countedFrom(since: ComparableTimeMark): ListedInstance {
        val leaving = status as? InstanceStatus.Leaving ?: return this
        val left = leaving.remainingMillis.milliseconds - since.elapsedNow()
        val now = InstanceStatus.Leaving(left.inWholeMilliseconds.coerceAtLeast(0))
        return when (this) {
            is ListedInstance.Entry -> copy(status = now)
            is ListedInstance.Backend -> copy(status = now)
        }
    }

    private data class Change(val since: ComparableTimeMark, val name: String, val listed: ListedInstance?)
}

internal val ListedInstance.name: String
    get() = when (this) {
        is ListedInstance.Entry -> id.value
        is ListedInstance.Backend -> server.id.value
    }
