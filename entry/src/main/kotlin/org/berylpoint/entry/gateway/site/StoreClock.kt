package org.berylpoint.entry.gateway.site

import org.berylpoint.entry.gateway.Clocks

/**
 * The store's steady clock as this process knows it from the times that answers of the store name.
 *
 * An answer was made after its call was sent, so the store's clock is ahead of this process's by at most the difference
 * between the two times. The smallest difference seen is kept: [nowMillis] is never behind the store's clock, and ahead
 * of it by no more than the fastest call took.
 */
public class StoreClock(private val clocks: Clocks) {
    private var maxOffsetMillis: Long? = null

    /** This process's own steady clock, to note when a call is sent. */
    internal val localMillis: Long get() = clocks.steadyMillis

    /** The latest time that the store's clock may show; null before the first answer. */
    public val nowMillis: Long? @Synchronized get() = maxOffsetMillis?.let { clocks.steadyMillis + it }

    /** Records an answer that names the time [answerMillis], to a call that was sent at [sentAtMillis] here. */
    @Synchronized
    internal fun record(answerMillis: Long, sentAtMillis: Long) {
        val highest = answerMillis - sentAtMillis
        val lowest = answerMillis - clocks.steadyMillis
        val known = maxOffsetMillis
        // The own clock stands still while the machine is suspended, so the difference may have grown.
        maxOffsetMillis = if (known == null || known < lowest) highest else minOf(known, highest)
    }

    /** Records that the store's clock shows [millis] or more, by what a peer knows. */
    @Synchronized
    internal fun advanceTo(millis: Long) {
        val now = nowMillis ?: return
        if (now < millis) maxOffsetMillis = millis - clocks.steadyMillis
    }
}
