package org.berylpoint.testkit.load

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.berylpoint.testkit.standin.FakePlainService
import org.berylpoint.testkit.standin.FakeText
import org.berylpoint.testkit.standin.Journal
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Sends chats and bookings at a steady rate, each through a ready entry instance, and journals what its
 * callers see. A caller of a booking that got no final answer sends it again with the same key, through another
 * entry instance, as a person would.
 */
public class LoadRunner(private val plan: LoadPlan, private val journal: Journal) {
    private val random = Random(plan.seed)
    private val caller = HttpCaller(journal, plan.deadlineMillis)
    private val balancer = Balancer(plan.entries, Random(plan.seed))

    /** Runs the plan; returns when every call has ended. */
    public suspend fun run() {
        coroutineScope {
            val polling = launch(Dispatchers.IO) { balancer.poll() }
            coroutineScope {
                launch(Dispatchers.IO) { repeatAt(plan.chatsPerSecond) { number -> launch { chat(number) } } }
                launch(Dispatchers.IO) { repeatAt(plan.bookingsPerSecond) { number -> launch { booking(number) } } }
            }
            polling.cancel()
        }
    }

    private suspend fun repeatAt(perSecond: Double, send: (Int) -> Unit) {
        if (perSecond <= 0) return
        val gap = 1.seconds / perSecond
        repeat((plan.seconds * perSecond).toInt()) {
            send(it)
            delay(gap)
        }
    }

    private suspend fun chat(number: Int) {
        val call = "chat-$number"
        val tokens = synchronized(random) { random.nextInt(plan.maxTokens / 5, plan.maxTokens) }
        val body = FakeText.request(plan.chatClass, call, "question ${number % TOPICS}", tokens)
        caller.chat(entry(), call, workspace(number), body, plan.chatClass)
    }

    private suspend fun booking(number: Int) {
        val call = "booking-$number"
        val path = "/services/${plan.bookingClass}/seats"
        val body = FakePlainService.request(call, "seat-$number")
        repeat(SENDS) { send ->
            if (caller.booking(entry(), call, send, workspace(number), path, body, plan.bookingClass)) return
            delay(RESEND_AFTER)
        }
    }

    private fun entry() = balancer.pick()

    private fun workspace(number: Int) = plan.workspaces[number % plan.workspaces.size]

    private companion object {
        // Chats on a topic share their prompt's prefix, as members' questions do.
        const val TOPICS = 12
        const val SENDS = 4
        val RESEND_AFTER = 400.milliseconds
    }
}
