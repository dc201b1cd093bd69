package org.berylpoint.entry.member

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId

/** The value of the row `domain/<name>`. */
@Serializable
internal data class DomainRow(
    val members: List<Instance>,
    /** Instances that stop and must not be added again, until they are confirmed gone. */
    val left: List<InstanceId> = emptyList(),
    /** The newest changes of the members, newest last, for readers that missed an epoch. */
    val changes: List<MemberChange> = emptyList(),
) {
    /** The next version of the row, with [target] as members at [epoch]. */
    fun next(epoch: Long, target: List<Instance>, left: List<InstanceId>): DomainRow {
        val before = members.map { it.id }
        val after = target.map { it.id }
        val change = MemberChange(epoch, added = after - before.toSet(), removed = before - after.toSet())
        return DomainRow(target, left, (changes + change).takeLast(KEPT_CHANGES))
    }

    /** The members at [wanted], which is at most [version], the version of this row; null if that is too long ago. */
    fun membersAt(wanted: Long, version: Long): Set<InstanceId>? {
        val undone = changes.filter { it.epoch in (wanted + 1)..version }
        if (undone.size.toLong() != version - wanted) return null
        return undone.reversed().fold(members.map { it.id }.toSet()) { ids, change ->
            ids - change.added.toSet() + change.removed
        }
    }

    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        // More changes than happen while an instance waits for the fence of a silent one.
        private const val KEPT_CHANGES = 32

        fun decode(value: String): DomainRow = Json.decodeFromString(serializer(), value)
    }
}

/** The instances that the epoch [epoch] added and removed. */
@Serializable
internal data class MemberChange(val epoch: Long, val added: List<InstanceId>, val removed: List<InstanceId>)
