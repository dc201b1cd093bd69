package org.berylpoint.entry.member

import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId

/** What an entry instance knows of the entry instances, itself included. */
public data class MembershipView(
    val self: Instance,
    val members: Map<InstanceId, Member>,
    /** Confirmed gone: left, port refused, or terminated on the platform's list. Never comes back under this id. */
    val departed: Set<InstanceId> = emptySet(),
) {
    /** Members heard from within the suspicion time, itself included. */
    val alive: List<Instance> get() = members.values.filter { it.state == Member.State.ALIVE }.map { it.instance }

    /** The live members in [domain], itself included. */
    public fun aliveIn(domain: FailureDomain): List<Instance> = alive.filter { it.failureDomain == domain }
}

/** One known entry instance. */
public data class Member(val instance: Instance, val state: State) {
    /** [SUSPECT] after 2 s without an answer; a suspect is not confirmed gone. */
    public enum class State { ALIVE, SUSPECT }
}
