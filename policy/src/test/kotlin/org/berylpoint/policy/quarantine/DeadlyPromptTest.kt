package org.berylpoint.policy.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import kotlin.random.Random

/**
 * Load with one deadly prompt part: 5 in 100 requests have it, at any instance, never two alike; the others share the
 * first part with them and one of some subjects. A server that crashes takes the requests that it runs with it.
 */
class DeadlyPromptTest :
    FunSpec({
        for (seed in 1..10) {
            // Guards against servers that crash one after the other (BUDGET), and against sound requests that are
            // refused with the deadly ones (LOST).
            test("the servers that a part crashes are few, and sound requests go on (seed $seed)") {
                val load = DeadlyPromptLoad(instances = 8, servers = 16, Random(seed))
                load.run(seconds = 30)
                load.crashesLaterThan(CONTACT_MILLIS) shouldBeLessThanOrEqual 3
                load.soundRefused shouldBeLessThan load.soundSent / 100
            }

            test("the same holds at the size of a large site (seed $seed)") {
                val load = DeadlyPromptLoad(instances = 70, servers = 42, Random(seed), requestsPerSecond = 60)
                load.run(seconds = 30)
                load.crashesLaterThan(CONTACT_MILLIS) shouldBeLessThanOrEqual 3
                load.soundRefused shouldBeLessThan load.soundSent / 100
            }
        }
    })

/** Time from the fifth crash in which further requests with the part may reach servers. */
private const val CONTACT_MILLIS = 3_000L

private class DeadlyPromptLoad(
    instances: Int,
    private val servers: Int,
    private val random: Random,
    private val requestsPerSecond: Int = 20,
) {
    private class Run(val parts: List<String>, val instance: Int, val server: Int, val startAt: Long, val endAt: Long)

    private val suspects = List(instances) { CrashSuspects() }
    private val running = ArrayList<Run>()
    private val starts = IntArray(servers) { 1 }
    private val downUntil = LongArray(servers)
    private val crashTimes = ArrayList<Long>()
    var soundSent = 0L
    var soundRefused = 0L

    fun crashesLaterThan(millis: Long): Int {
        val fifth = crashTimes.getOrNull(4) ?: return 0
        return crashTimes.count { it > fifth + millis }
    }

    fun run(seconds: Int) {
        for (now in 0L until seconds * 1_000L step STEP_MILLIS) {
            if (random.nextInt(1_000) < requestsPerSecond * STEP_MILLIS) arrive(now)
            progress(now)
            if (now % REPORT_MILLIS == 0L) exchange(now)
        }
    }

    private fun arrive(now: Long) {
        val isDeadly = now > 2_000 && random.nextInt(100) < 5
        val parts = listOf("first", if (isDeadly) "deadly" else "subject${random.nextInt(60)}")
        val instance = random.nextInt(suspects.size)
        send(parts, instance, now, attemptsLeft = 2)
    }

    private fun send(parts: List<String>, instance: Int, now: Long, attemptsLeft: Int) {
        val isSound = "deadly" !in parts
        if (isSound) soundSent++
        if (suspects[instance].quarantined(parts, now) != null) {
            if (isSound) soundRefused++
            return
        }
        val up = (0 until servers).filter { downUntil[it] <= now }
        val server = up.randomOrNull(random) ?: return
        running += Run(parts, instance, server, now + FIRST_EVENT_MILLIS, now + random.nextLong(500, 3_000))
        if (!isSound) crashAfterFirstEvent(running.last(), now, attemptsLeft)
    }

    /** The crash itself happens in [progress]; the retry of the caller's request is sent at once. */
    private fun crashAfterFirstEvent(run: Run, now: Long, attemptsLeft: Int) {
        crash(run.server, now + FIRST_EVENT_MILLIS)
        if (attemptsLeft > 1) send(run.parts, run.instance, now + FIRST_EVENT_MILLIS, attemptsLeft - 1)
    }

    private fun crash(server: Int, now: Long) {
        crashTimes += now
        for (run in running.filter { it.server == server }) {
            if (now <= run.startAt) suspects[run.instance].recordLoss(run.parts, "$server@${starts[server]}", now)
        }
        running.removeAll { it.server == server }
        starts[server]++
        downUntil[server] = now + RESTART_MILLIS
    }

    private fun progress(now: Long) {
        for (run in running.filter { it.endAt <= now }) suspects[run.instance].recordCompletion(run.parts, now)
        running.removeAll { it.endAt <= now }
    }

    private fun exchange(now: Long) {
        val reports = suspects.map { it.toReport(now) }.filter { it.isNotEmpty() }
        for (instance in suspects) reports.forEach { instance.merge(it, now) }
    }

    private companion object {
        const val STEP_MILLIS = 5L
        const val REPORT_MILLIS = 250L
        const val FIRST_EVENT_MILLIS = 150L
        const val RESTART_MILLIS = 3_000L
    }
}
