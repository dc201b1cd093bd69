package org.berylpoint.testkit.rig

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.test.TestScope
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import kotlin.coroutines.ContinuationInterceptor
import kotlin.random.Random
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.ExperimentalTime
import kotlin.time.Instant
import kotlin.time.TimeSource

/**
 * Runs the logic of several entry instances in one process and in virtual time, over in-memory links.
 *
 * Example:
 * ```
 * runTest {
 *     val rig = Rig(this, seed = 1)
 *     val a = rig.machine("a", FailureDomain("muc-a"))
 *     val b = rig.machine("b", FailureDomain("aug-a"))
 *     rig.links.cut(a.instance.id, b.instance.id)
 * }
 * ```
 */
@OptIn(ExperimentalCoroutinesApi::class, ExperimentalTime::class)
public class Rig(private val test: TestScope, public val seed: Int, delay: Duration = 1.milliseconds) {
    /** The links between the machines, to cut, delay and heal. */
    public val links: Links = Links(delay)

    /** The virtual clock that all machines share. */
    public val time: TimeSource.WithComparableMarks = test.testScheduler.timeSource

    /** The virtual wall clock; it starts at the epoch. */
    public val wallClock: Clock = object : Clock {
        override fun now(): Instant = Instant.fromEpochMilliseconds(test.testScheduler.currentTime)
    }

    private val machines = mutableMapOf<InstanceId, Machine>()

    /** Starts a machine; [id] must be new, also after a kill. */
    public fun machine(id: String, domain: FailureDomain): Machine {
        val instance = Instance(InstanceId(id), domain, "$id:1")
        check(instance.id !in machines) { "machine $id exists already" }
        val machine = Machine(instance, newScope(), links, Random(seed * 1_000_003L + id.hashCode()))
        machines[instance.id] = machine
        links.attach(machine)
        return machine
    }

    private fun newScope(): Pair<CoroutineScope, PausableDispatcher> {
        val base = test.backgroundScope.coroutineContext
        val dispatcher = PausableDispatcher(base[ContinuationInterceptor] as CoroutineDispatcher)
        return CoroutineScope(base + dispatcher + SupervisorJob(base[kotlinx.coroutines.Job])) to dispatcher
    }
}

/** One machine of the rig: its scope, its side of the network, and the means to stop it. */
public class Machine internal constructor(
    public val instance: Instance,
    runtime: Pair<CoroutineScope, PausableDispatcher>,
    links: Links,
    /** Random numbers of this machine, from the rig's seed and the machine's id. */
    public val random: Random,
) {
    /** The scope in which the node's coroutines run. */
    public val scope: CoroutineScope = runtime.first

    /** The machine's side of the network. */
    public val network: MemoryPeerNetwork = MemoryPeerNetwork(this, links)

    /** False once the machine was killed. */
    public var isAlive: Boolean = true
        private set

    private val dispatcher = runtime.second

    /** Ends the process at once: its port refuses connections from now on. */
    public fun kill() {
        isAlive = false
        scope.cancel()
    }

    /** Freezes the process: it neither runs nor answers, but its port does not refuse. */
    public fun pause(): Unit = dispatcher.pause()

    /** Lets a frozen process run on. */
    public fun resume(): Unit = dispatcher.resume()
}
