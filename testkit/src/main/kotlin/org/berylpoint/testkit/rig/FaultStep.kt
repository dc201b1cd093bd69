package org.berylpoint.testkit.rig

import kotlinx.coroutines.delay
import org.berylpoint.platform.InstanceStatus
import org.berylpoint.testkit.standin.Fault
import org.berylpoint.testkit.standin.SceneEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One step of a schedule of failures: [kind] happens to machine or server number [target], after a wait. */
public data class FaultStep(val afterMillis: Int, val kind: FaultKind, val target: Int)

/** The failures that a schedule is made of; each ends by itself or lasts until [Site.endFaults]. */
public enum class FaultKind {
    KILL_INSTANCE,
    STOP_INSTANCE,
    FREEZE_INSTANCE,
    CUT_DOMAIN,
    CUT_FROM_PLATFORM,
    TABLE_DOWN,
    TABLE_SLOW,
    TABLE_LOSES_ANSWERS,
    KILL_SERVER,
    RECLAIM_SERVER,
    FREEZE_SERVER,
    SERVER_TURNS_COLD,
    SILENCE_CONNECTIONS,
    TAKE_DOMAIN_OUT,
}

private val FREEZE = 12.seconds
private val NOTICE = 5.seconds
private val SLOW_TABLE = 900.milliseconds

/** Carries out one step; returns when the failure has begun. */
public suspend fun Site.strike(step: FaultStep) {
    delay(step.afterMillis.milliseconds)
    val node = running[step.target % running.size]
    val server = backends.all.values.toList().let { it[step.target % it.size] }
    val domain = plan.domainOf(step.target)
    when (step.kind) {
        FaultKind.KILL_INSTANCE -> if (running.size > MIN_RUNNING) replaceAfter { kill(node) }

        FaultKind.STOP_INSTANCE -> if (running.size > MIN_RUNNING) replaceAfter { stop(node, NOTICE * 2) }

        FaultKind.FREEZE_INSTANCE -> later(FREEZE, { node.machine.pause() }) { node.machine.resume() }

        FaultKind.CUT_DOMAIN -> rig.links.isolate(domain)

        FaultKind.CUT_FROM_PLATFORM ->
            running.filter { it.machine.instance.failureDomain == domain }
                .forEach { table.faults[it.machine.instance.id] = Fault.DOWN }

        FaultKind.TABLE_DOWN -> table.faults.all = Fault.DOWN

        FaultKind.TABLE_SLOW -> table.faults.all = Fault.slow(SLOW_TABLE)

        FaultKind.TABLE_LOSES_ANSWERS -> table.faults.loseNextAnswers(3)

        FaultKind.KILL_SERVER -> later(NOTICE, { server.kill() }) { server.restart() }

        FaultKind.RECLAIM_SERVER -> reclaim(server.server.id.value, NOTICE)

        FaultKind.FREEZE_SERVER -> later(NOTICE, { server.freeze() }) { server.thaw() }

        FaultKind.SERVER_TURNS_COLD -> server.becomeCold()

        FaultKind.SILENCE_CONNECTIONS -> server.silenceOpenConnections()

        FaultKind.TAKE_DOMAIN_OUT -> runCatching { takeOut(domain) }
    }
}

/** Ends every lasting fault of links, platform and servers. */
public fun Site.endFaults() {
    rig.links.heal()
    val dead = nodes.filter { !it.machine.isAlive }.map { it.machine.instance.id }
    table.faults.clear()
    dead.forEach { table.faults[it] = Fault.DOWN }
    running.forEach { it.machine.resume() }
    backends.all.values.forEach { it.thaw() }
}

/** Announces the reclaim of a server and takes it away when the notice has passed. */
public suspend fun Site.reclaim(name: String, notice: Duration) {
    val server = backends.server(name)
    val entry = listOf(plan.chatEntry(), plan.bookingEntry()).first { entry ->
        entry.servers.any { it == server.server }
    }
    instances.put(entry.name, server.server, InstanceStatus.Leaving(notice.inWholeMilliseconds))
    journal.add(SceneEvent.ServerLeaves(journal.now(), name))
    later(notice, {}) {
        server.kill()
        instances.put(entry.name, server.server, InstanceStatus.Terminated)
    }
}

private const val MIN_RUNNING = 2
