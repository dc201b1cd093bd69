package org.berylpoint.entry.catalogue

import org.berylpoint.model.CatalogueUpdate

/** The latest updates without a gap, so that a peer that lacks a few gets those and not the whole catalogue. */
internal class UpdateWindow {
    private val updates = ArrayDeque<CatalogueUpdate>()

    /** Adds [next] after the others; updates that do not follow replace them. */
    fun add(next: List<CatalogueUpdate>) {
        next.forEach { update ->
            if (updates.lastOrNull()?.let { it.expectedVersion + 1 != update.expectedVersion } == true) updates.clear()
            updates.addLast(update)
            if (updates.size > CAPACITY) updates.removeFirst()
        }
    }

    /** The updates from [known] to [current], or null when some are no longer there. */
    fun between(known: Long, current: Long): List<CatalogueUpdate>? =
        updates.filter { it.expectedVersion in known until current }
            .takeIf { it.size.toLong() == current - known && known >= 0 }

    private companion object {
        const val CAPACITY = 200
    }
}
