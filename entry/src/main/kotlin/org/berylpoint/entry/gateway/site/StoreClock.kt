package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.Clocks
import java.util.TreeMap

/**
 * The store's steady clock as this process knows it from the times that answers of the store name.
 *
 * An answer was made after its call was sent, so the store's clock is ahead of this process's by at most the difference
 * between the two times. The smallest difference seen is kept: [nowMillis] is never behind the store's clock, and ahead
 * of it by no more than the fastest call took.
 *
 * A restored store may have another clock, behind or ahead of the one before, so each era has an estimate of its own.
 */
public class StoreClock(private val clocks: Clocks) {
    /** The highest difference that the store's clock may have to the own one, by era. */
    private val maxOffsetMillis = TreeMap<Long, Long>()

    /** This process's own steady clock, to note when a call is sent. */
    internal val localMillis: Long get() = clocks.steadyMillis

    /** The latest time that the store's clock may show in the newest era known; null before the first answer. */
    public val nowMillis: Long? @Synchronized get() = maxOffsetMillis.lastEntry()?.let {
        clocks.steadyMillis + it.value
    }

    /** The latest time that the store's clock of [era] may show; null if nothing is known of it. */
    @Synchronized
    internal fun nowMillis(era: Long): Long? = maxOffsetMillis[era]?.let { clocks.steadyMillis + it }

    /** Records an answer of [era] that names the time [answerMillis], to a call sent at [sentAtMillis] here. */
    @Synchronized
    internal fun record(answerMillis: Long, sentAtMillis: Long, era: Long = 0) {
        val highest = answerMillis - sentAtMillis
        val lowest = answerMillis - clocks.steadyMillis
        val known = maxOffsetMillis[era]
        // The own clock stands still while the machine is suspended, so the difference may have grown.
        maxOffsetMillis[era] = if (known == null || known < lowest) highest else minOf(known, highest)
        while (maxOffsetMillis.size > RETAINED_ERAS) maxOffsetMillis.pollFirstEntry()
    }

    /** Records that the store's clock of [era] shows [millis] or more, by what a peer knows. */
    @Synchronized
    internal fun advanceTo(millis: Long, era: Long = 0) {
        if (millis <= 0) return
        val now = nowMillis(era)
        when {
            now != null -> if (now < millis) maxOffsetMillis[era] = millis - clocks.steadyMillis
            // Without an answer of the new era to this process, the time that peers know is as late as their view.
            maxOffsetMillis.isNotEmpty() && era > maxOffsetMillis.lastKey() ->
                maxOffsetMillis[era] = millis + PEER_VIEW_AGE_MILLIS - clocks.steadyMillis
        }
    }

    private companion object {
        /** The estimates of the era before are needed until each table has been read in the new one. */
        const val RETAINED_ERAS = 3

        /** The wait of the feeds at the instances that read them for all. */
        const val PEER_VIEW_AGE_MILLIS = 1_000L
    }
}
