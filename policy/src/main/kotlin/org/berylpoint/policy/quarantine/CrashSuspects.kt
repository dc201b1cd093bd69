package org.berylpoint.policy.quarantine

/** A server process that seems to have crashed during a request, [ageMillis] ago. */
public data class SuspectedCrash(val process: String, val ageMillis: Long, val isRefuted: Boolean)

/**
 * Finds what requests have in common that crashes the servers which run them, such as one part of their prompts.
 *
 * A connection that is lost before a response begins counts once for each server process against every part of the
 * request. A part is quarantined after such losses at several processes, none of them refuted. A loss is refuted by a
 * response to any request with the part that came to its end, since the part crashes every server that begins to answer
 * it, and by any later response of the process, which then has not crashed.
 *
 * Suspicions are merged over all instances by union, so that a report that is lost or repeated does no harm. Times are
 * on the steady clock, in milliseconds; processes are named by the server's id and the time of its start.
 */
public class CrashSuspects {
    private class Loss(val atMillis: Long) {
        var isRefuted = false
    }

    private class Suspect {
        /** Losses by server process. */
        val losses = LinkedHashMap<String, Loss>()
        var changedAtMillis = 0L
        var triedAtMillis = Long.MIN_VALUE / 2

        fun latestLossAtMillis(): Long = losses.values.filterNot { it.isRefuted }.maxOfOrNull { it.atMillis } ?: 0

        fun suspectedProcesses(): Set<String> = losses.filterValues { !it.isRefuted }.keys
    }

    private val suspects = LinkedHashMap<String, Suspect>()

    /** Parts of requests that were completed, with the time of the last one, oldest first. */
    private val completed = LinkedHashMap<String, Long>()

    /** Time of the latest loss by server process, while a response of the process would refute it. */
    private val lostProcesses = HashMap<String, Long>()

    /** Records that the connection to [process] was lost before the response to a request with [parts] began. */
    public fun recordLoss(parts: Collection<String>, process: String, nowMillis: Long) {
        for (part in parts) add(part, process, nowMillis, nowMillis)
    }

    /** Records that [process] has responded to some request. */
    public fun recordResponse(process: String, nowMillis: Long) {
        if (lostProcesses.isEmpty()) return
        lostProcesses.values.removeAll { nowMillis - it > MAX_REFUTING_AGE_MILLIS }
        val lostAtMillis = lostProcesses[process] ?: return
        if (nowMillis - lostAtMillis < MIN_REFUTING_AGE_MILLIS) return
        lostProcesses.remove(process)
        for (suspect in suspects.values) suspect.losses[process]?.let { refute(suspect, it, nowMillis) }
    }

    /** Records that the response to a request with [parts] was completed. */
    public fun recordCompletion(parts: Collection<String>, nowMillis: Long) {
        for (part in parts) {
            completed.remove(part)
            completed[part] = nowMillis
            val suspect = suspects[part] ?: continue
            for (loss in suspect.losses.values) refute(suspect, loss, nowMillis)
        }
        while (completed.size > MAX_COMPLETED_PARTS) completed.remove(completed.keys.first())
    }

    /** The first of [parts] in quarantine, for which a request with just these parts is to be refused; or null. */
    public fun quarantined(parts: Collection<String>, nowMillis: Long): String? =
        parts.firstOrNull { isQuarantined(it, parts, nowMillis) }

    private fun isQuarantined(part: String, requestParts: Collection<String>, nowMillis: Long): Boolean {
        val suspect = suspects[part] ?: return false
        val maxCrashes = if (isKnownToWork(part, nowMillis)) MAX_CRASHES_OF_KNOWN_PART else MAX_CRASHES
        val crashed = suspect.losses.filterValues { !it.isRefuted && isConfirmed(it, nowMillis) }.keys
        if (crashed.size < maxCrashes) return false
        return (crashed - explainedWithout(suspect, requestParts, nowMillis)).size >= maxCrashes
    }

    private fun isConfirmed(loss: Loss, nowMillis: Long) =
        nowMillis - loss.atMillis in CONFIRMATION_MILLIS..LOSS_EXPIRY_MILLIS

    private fun isKnownToWork(part: String, nowMillis: Long): Boolean {
        val completedAtMillis = completed[part] ?: return false
        return nowMillis - completedAtMillis < COMPLETION_EXPIRY_MILLIS
    }

    /**
     * Processes whose crashes a part explains as well that the request does not have: one with at least as many of
     * them, and with no completed request. A request with only one of two such parts is sent, and tells which it is.
     */
    private fun explainedWithout(suspect: Suspect, requestParts: Collection<String>, nowMillis: Long): Set<String> {
        val own = suspect.suspectedProcesses().size
        return suspects.filterKeys { it !in requestParts && !isKnownToWork(it, nowMillis) }.values
            .map { it.suspectedProcesses() }
            .filter { it.size >= own }
            .flatten()
            .toSet()
    }

    /**
     * Whether one request with the quarantined [part] may be sent to find out whether the part still crashes servers:
     * some time after the last crash and after the last such request.
     */
    public fun tryRelease(part: String, nowMillis: Long): Boolean {
        val suspect = suspects[part] ?: return false
        val lastMillis = maxOf(suspect.latestLossAtMillis(), suspect.triedAtMillis)
        if (nowMillis - lastMillis < RELEASE_TRIAL_MILLIS) return false
        suspect.triedAtMillis = nowMillis
        return true
    }

    /** The suspicions of most weight, for the other instances: those with most crashes, then the latest. */
    public fun toReport(nowMillis: Long): Map<String, List<SuspectedCrash>> {
        removeExpired(nowMillis)
        return suspects.entries
            .filter { (_, it) -> it.losses.values.any { loss -> !loss.isRefuted } || isRecent(it, nowMillis) }
            .sortedWith(
                compareByDescending<Map.Entry<String, Suspect>> { (_, it) -> it.suspectedProcesses().size }
                    .thenByDescending { (_, it) -> it.changedAtMillis },
            )
            .take(MAX_REPORTED_PARTS)
            .associate { (part, it) -> part to crashesOf(it, nowMillis) }
    }

    /** Merges the suspicions that another instance has reported. */
    public fun merge(report: Map<String, List<SuspectedCrash>>, nowMillis: Long) {
        for ((part, crashes) in report) {
            for (crash in crashes) merge(part, crash, nowMillis)
        }
    }

    private fun merge(part: String, crash: SuspectedCrash, nowMillis: Long) {
        if (crash.ageMillis > LOSS_EXPIRY_MILLIS) return
        if (suspects[part]?.losses?.get(crash.process) == null) {
            // A refutation of something unknown says nothing here.
            if (crash.isRefuted) return
            add(part, crash.process, nowMillis - crash.ageMillis, nowMillis)
        } else if (crash.isRefuted) {
            val suspect = suspects.getValue(part)
            refute(suspect, suspect.losses.getValue(crash.process), nowMillis)
        }
    }

    private fun add(part: String, process: String, atMillis: Long, nowMillis: Long) {
        val suspect = suspects.getOrPut(part) { Suspect() }
        if (process in suspect.losses) return
        suspect.losses[process] = Loss(atMillis)
        suspect.changedAtMillis = nowMillis
        if (suspect.losses.size > MAX_LOSSES_OF_PART) suspect.losses.remove(suspect.losses.keys.first())
        lostProcesses[process] = nowMillis
        if (suspects.size > MAX_SUSPECTS) removeLeastSuspected()
    }

    /** A part in quarantine stays, however many others are suspected after servers of a whole domain have crashed. */
    private fun removeLeastSuspected() {
        val byWeight = compareBy<Map.Entry<String, Suspect>>(
            { (_, it) -> it.suspectedProcesses().size },
            { (_, it) -> it.changedAtMillis },
        )
        suspects.remove(suspects.entries.minWith(byWeight).key)
    }

    private fun refute(suspect: Suspect, loss: Loss, nowMillis: Long) {
        if (loss.isRefuted) return
        loss.isRefuted = true
        suspect.changedAtMillis = nowMillis
    }

    private fun crashesOf(suspect: Suspect, nowMillis: Long) = suspect.losses.entries.toList()
        .takeLast(MAX_REPORTED_LOSSES)
        .map { (process, loss) -> SuspectedCrash(process, nowMillis - loss.atMillis, loss.isRefuted) }

    private fun isRecent(suspect: Suspect, nowMillis: Long) =
        nowMillis - suspect.changedAtMillis < REFUTATION_REPORT_MILLIS

    private fun removeExpired(nowMillis: Long) {
        for (suspect in suspects.values) {
            suspect.losses.values.removeAll { nowMillis - it.atMillis > LOSS_EXPIRY_MILLIS }
        }
        suspects.values.removeAll { it.losses.isEmpty() }
    }

    private companion object {
        /** Crashes after which a part is quarantined. */
        const val MAX_CRASHES = 3

        /** The same for a part with which requests were completed lately: servers crash for other reasons too. */
        const val MAX_CRASHES_OF_KNOWN_PART = 5

        /** Time in which a loss may still be refuted before it counts as a crash. */
        const val CONFIRMATION_MILLIS = 400L

        /** A response that comes sooner may have been under way when the connection was lost. */
        const val MIN_REFUTING_AGE_MILLIS = 100L

        /** A response that comes later may be that of a server which was started again. */
        const val MAX_REFUTING_AGE_MILLIS = 1_500L
        const val COMPLETION_EXPIRY_MILLIS = 60_000L

        /** Time for which a crash counts, and so for which a part stays quarantined without further ones. */
        const val LOSS_EXPIRY_MILLIS = 600_000L

        /** Time from the last crash to the next trial whether a quarantined part still crashes servers. */
        const val RELEASE_TRIAL_MILLIS = 30_000L

        /** Time for which a refutation is reported. */
        const val REFUTATION_REPORT_MILLIS = 3_000L

        const val MAX_SUSPECTS = 500
        const val MAX_LOSSES_OF_PART = 8
        const val MAX_COMPLETED_PARTS = 4_000
        const val MAX_REPORTED_PARTS = 8
        const val MAX_REPORTED_LOSSES = 6
    }
}
