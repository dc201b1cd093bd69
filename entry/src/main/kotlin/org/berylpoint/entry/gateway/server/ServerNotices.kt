package org.berylpoint.entry.gateway.server

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.model.serving.RegisteredServer

/**
 * What servers have said of themselves in responses to this instance: that they are going to end, or that they want no
 * requests from it for a while.
 *
 * It holds for one process of a server, whatever becomes of its entry: an entry may say so later, and may lapse and
 * come back while the store is in trouble.
 */
public class ServerNotices(private val clocks: Clocks, private val log: DecisionLog) {
    @Volatile
    private var leaving: PersistentSet<ServerProcess> = persistentSetOf()

    /** Steady-clock time at which a server takes requests again, by process. */
    @Volatile
    private var resumeTimes: PersistentMap<ServerProcess, Long> = persistentMapOf()

    /** Records what the [head] of a response of [server] says. */
    @Synchronized
    public fun record(server: RegisteredServer, head: ServerEvent.Head) {
        val process = ServerProcess.of(server)
        if (head.isServerLeaving) recordLeaving(process)
        head.retryAfterMillis?.let { recordWait(process, it) }
    }

    private fun recordLeaving(process: ServerProcess) {
        if (process in leaving) return
        log.event("server", "a server says that it leaves", "server" to process.id)
        leaving = (if (leaving.size < MAX_PROCESSES) leaving else leaving.remove(leaving.first())).add(process)
    }

    private fun recordWait(process: ServerProcess, millis: Long) {
        val now = clocks.steadyMillis
        if (now + millis <= (resumeTimes[process] ?: now)) return
        log.event("server", "a server wants no requests", "server" to process.id, "millis" to millis)
        resumeTimes = resumeTimes.filterValues { it > now }.toPersistentMap().put(process, now + millis)
    }

    /** Whether [server] has said that it leaves, so that it gets no more requests. */
    public fun isLeaving(server: RegisteredServer): Boolean =
        leaving.isNotEmpty() && ServerProcess.of(server) in leaving

    /** Milliseconds for which [server] still wants no requests; 0 if it takes them. */
    public fun waitMillis(server: RegisteredServer): Long {
        if (resumeTimes.isEmpty()) return 0
        val resumesAt = resumeTimes[ServerProcess.of(server)] ?: return 0
        return (resumesAt - clocks.steadyMillis).coerceAtLeast(0)
    }

    private companion object {
        /** Servers that left long ago are forgotten first. */
        const val MAX_PROCESSES = 1_000
    }
}
