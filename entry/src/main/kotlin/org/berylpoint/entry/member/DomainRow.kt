package org.berylpoint.entry.member

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId

/** The members of a failure domain, stored as the value of row `domain/<name>`. */
@Serializable
internal data class DomainRow(
    val members: List<Instance>,
    /** Instances that are stopping and must not be added again; kept until they are confirmed departed. */
    val left: List<InstanceId> = emptyList(),
    /** The latest membership changes in order of epochs, for readers that missed an epoch. */
    val changes: List<MemberChange> = emptyList(),
) {
    /** Returns the next value of the row, with [target] as the members at [epoch]. */
    fun next(epoch: Long, target: List<Instance>, left: List<InstanceId>): DomainRow {
        val before = members.map { it.id }
        val after = target.map { it.id }
        val change = MemberChange(epoch, added = after - before.toSet(), removed = before - after.toSet())
        return DomainRow(target, left, (changes + change).takeLast(MAX_CHANGES))
    }

    /** Returns the members at epoch [wanted], at most [version] of this row; null if the history is too short. */
    fun membersAt(wanted: Long, version: Long): Set<InstanceId>? {
        val laterChanges = changes.filter { it.epoch in (wanted + 1)..version }
        if (laterChanges.size.toLong() != version - wanted) return null
        return laterChanges.reversed().fold(members.map { it.id }.toSet()) { ids, change ->
            ids - change.added.toSet() + change.removed
        }
    }

    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        // Exceeds the number of changes during an owner's wait for an unreachable earlier owner.
        private const val MAX_CHANGES = 32

        fun decode(value: String): DomainRow = Json.decodeFromString(serializer(), value)
    }
}

/** The instances that were added and removed at [epoch]. */
@Serializable
internal data class MemberChange(val epoch: Long, val added: List<InstanceId>, val removed: List<InstanceId>)
