package org.berylpoint.entry.catalogue

import org.berylpoint.model.CatalogueUpdate

/** The latest updates without a gap, so that a peer a few versions behind is sent these, not the whole catalogue. */
internal class UpdateWindow {
    private val updates = ArrayDeque<CatalogueUpdate>()

    /** Appends [next]; an update that does not directly follow the last one discards all earlier ones. */
    fun add(next: List<CatalogueUpdate>) {
        next.forEach { update ->
            if (updates.lastOrNull()?.let { it.expectedVersion + 1 != update.expectedVersion } == true) updates.clear()
            updates.addLast(update)
            if (updates.size > CAPACITY) updates.removeFirst()
        }
    }

    /** The updates that lead from version [from] to version [to], or null if some are not in the window. */
    fun between(from: Long, to: Long): List<CatalogueUpdate>? = updates.filter { it.expectedVersion in from until to }
        .takeIf { it.size.toLong() == to - from && from >= 0 }

    private companion object {
        const val CAPACITY = 200
    }
}
