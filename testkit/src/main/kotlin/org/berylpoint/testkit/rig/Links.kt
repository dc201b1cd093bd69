package org.berylpoint.testkit.rig

import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import kotlin.time.Duration

/** The links between machines; a cut link drops every message in both directions without a sign to either end. */
public class Links internal constructor(private val delay: Duration) {
    private val machines = mutableMapOf<String, Machine>()
    private val cut = mutableSetOf<Set<InstanceId>>()
    private val cutDomains = mutableSetOf<Set<FailureDomain>>()
    private val oneWay = mutableSetOf<Pair<InstanceId, InstanceId>>()
    private val extra = mutableMapOf<Set<InstanceId>, Duration>()

    internal fun attach(machine: Machine) {
        machines[machine.instance.peerAddress] = machine
    }

    internal fun at(address: String): Machine? = machines[address]

    /** Cuts the link between two machines. */
    public fun cut(a: InstanceId, b: InstanceId) {
        cut += setOf(a, b)
    }

    /** Drops messages from [from] to [to] only. */
    public fun cutOneWay(from: InstanceId, to: InstanceId) {
        oneWay += from to to
    }

    /** Cuts all links between two failure domains. */
    public fun cut(a: FailureDomain, b: FailureDomain) {
        cutDomains += setOf(a, b)
    }

    /** Cuts [domain] off from all the others. */
    public fun isolate(domain: FailureDomain) {
        machines.values.map { it.instance.failureDomain }.filter { it != domain }.forEach { cut(domain, it) }
    }

    /** Adds [time] to each message between two machines, one way. */
    public fun slow(a: InstanceId, b: InstanceId, time: Duration) {
        extra[setOf(a, b)] = time
    }

    /** Removes every cut and every added delay. */
    public fun heal() {
        cut.clear()
        cutDomains.clear()
        oneWay.clear()
        extra.clear()
    }

    internal fun isOpen(from: Machine, to: Machine): Boolean {
        val a = from.instance
        val b = to.instance
        return setOf(a.id, b.id) !in cut &&
            setOf(a.failureDomain, b.failureDomain) !in cutDomains &&
            (a.id to b.id) !in oneWay
    }

    internal fun delay(from: Machine, to: Machine): Duration =
        delay + (extra[setOf(from.instance.id, to.instance.id)] ?: Duration.ZERO)
}
