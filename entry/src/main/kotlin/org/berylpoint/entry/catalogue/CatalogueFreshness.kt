package org.berylpoint.entry.catalogue

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** The latest evidence that a catalogue version was the newest one in the table, with the time of that. */
internal class CatalogueFreshness {
    private class Proof(val version: Long, val at: ComparableTimeMark)

    private var proof: Proof? = null

    /** Age of the latest evidence; null if there is none. */
    val age: Duration? get() = proof?.at?.elapsedNow()

    /** Age of the latest evidence if it is for [version]; null otherwise. */
    fun ageOf(version: Long): Duration? = proof?.takeIf { it.version == version }?.at?.elapsedNow()

    /** Records that [version] was the newest one at the time [at]; ignored if later evidence is known. */
    fun record(version: Long, at: ComparableTimeMark) {
        val last = proof
        val isOlder = last != null && (last.version > version || (last.version == version && last.at >= at))
        if (!isOlder) proof = Proof(version, at)
    }
}
