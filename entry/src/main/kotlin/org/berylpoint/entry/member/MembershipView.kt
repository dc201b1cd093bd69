package org.berylpoint.entry.member

import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId

/** The entry instances as seen by one of them, including itself. */
public data class MembershipView(
    val self: Instance,
    val members: Map<InstanceId, Member>,
    /**
     * Instances confirmed departed: they left, their port refused a connection, another instance answered at their
     * address, or the platform lists them as terminated. An instance never returns under the same id.
     */
    val departed: Set<InstanceId> = emptySet(),
) {
    /** Members that are not suspected, including this instance. */
    val alive: List<Instance> get() = members.values.filter { it.state == Member.State.ALIVE }.map { it.instance }

    /** The live members in [domain], including this instance if it belongs to the domain. */
    public fun aliveIn(domain: FailureDomain): List<Instance> = alive.filter { it.failureDomain == domain }
}

/** One known entry instance. */
public data class Member(val instance: Instance, val state: State) {
    /** [SUSPECT] after 2 s without news, 8 s in a large group; a suspect is not confirmed departed. */
    public enum class State { ALIVE, SUSPECT }
}
