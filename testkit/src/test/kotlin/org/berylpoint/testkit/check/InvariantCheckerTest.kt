package org.berylpoint.testkit.check

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.berylpoint.testkit.standin.CallerEvent
import org.berylpoint.testkit.standin.JournalEvent
import org.berylpoint.testkit.standin.SceneEvent
import org.berylpoint.testkit.standin.ServedCall
import org.berylpoint.testkit.standin.ServerEvent

/** Each case breaks one promise in the journals; a checker that overlooks it fails here. */
class InvariantCheckerTest :
    FunSpec({
        val cases = mapOf(
            "a booking run on two servers" to
                (ViolationKind.RUN_TWICE to served("s1", 10) + served("s2", 20) + sent() + complete(30)),
            "a booking run twice on one server" to
                (ViolationKind.RUN_TWICE to served("s1", 10) + served("s1", 20) + sent() + complete(30)),
            "`not-run` after the call reached a server" to
                (ViolationKind.FALSE_NOT_RUN to sent() + served("s1", 10) + problem("not-run", 20)),
            "`not-run` before the call reaches a server" to
                (ViolationKind.FALSE_NOT_RUN to sent() + problem("not-run", 20) + served("s1", 40)),
            "`not-run` to a repeat of a booking that ran" to
                (
                    ViolationKind.FALSE_NOT_RUN to sent() + served("s1", 10) + complete(20) +
                        sent("2", 30) + problem("not-run", 40, "2")
                    ),
            "an answer without its end" to
                (ViolationKind.INCOMPLETE_ANSWER to sent() + served("s1", 10) + complete(30, "a b")),
            "an answer with a piece repeated" to
                (ViolationKind.WRONG_ANSWER to sent() + served("s1", 10) + complete(30, "a b b c")),
            "a problem after a piece of another answer" to
                (
                    ViolationKind.WRONG_ANSWER to sent() + served("s1", 10) +
                        CallerEvent.Chunk(15, "c1", "1", "x") + problem("ran", 20)
                    ),
            "no answer at all" to
                (ViolationKind.LOST to sent() + SceneEvent.ServerStarted(60_000, "s9")),
            "a booking recorded as accepted and never run" to
                (
                    ViolationKind.LOST to sent() + CallerEvent.Disconnected(20, "c1", "1") +
                        SceneEvent.RecordedAsAccepted(10, "c1")
                    ),
            "a server over its limit" to
                (ViolationKind.OVER_LIMIT to sent() + served("s1", 10, inFlight = 3) + complete(30)),
            "work for a server 4 s after it said it leaves" to
                (
                    ViolationKind.WORK_AFTER_LEAVE to sent(at = 4_000) + served("s1", 4_010) + complete(4_020) +
                        SceneEvent.ServerLeaves(10, "s1")
                    ),
            "work for a domain 4 s after it was taken out" to
                (
                    ViolationKind.WORK_AFTER_TAKE_OUT to sent(at = 4_000) + served("s1", 4_010) + complete(4_020) +
                        SceneEvent.DomainTakenOut(10, "a")
                    ),
        )
        for ((name, case) in cases) {
            test("the checker reports $name") {
                InvariantChecker(case.second).check().violations.map { it.kind } shouldBe listOf(case.first)
            }
        }

        test("the checker accepts a retry after a true `not-run`") {
            val report = InvariantChecker(
                sent() + problem("not-run", 20) + sent("2", 30) + served("s1", 40) + complete(50, send = "2"),
            ).check()
            report.violations.shouldBeEmpty()
            report.classes shouldBe mapOf("book" to ClassOutcome(accepted = 1, completedOnce = 1))
        }

        test("the checker accepts work within 3 s of a leave and after the server came back") {
            InvariantChecker(
                SceneEvent.ServerLeaves(10, "s1") + sent() + served("s1", 2_900) + complete(2_950) +
                    SceneEvent.ServerStarted(9_000, "s1") + served("s1", 9_500, call = "c2"),
            ).check().violations.shouldBeEmpty()
        }

        test("the checker excuses a load over the limit while a cold server is not known to be cold") {
            InvariantChecker(
                sent() + SceneEvent.ServerBecameCold(5, "s1") + served("s1", 10, inFlight = 3) + complete(30),
            ).check().violations.shouldBeEmpty()
        }

        test("the table counts late, unknown, refused and failed calls by class") {
            val events = sent() + served("s1", 10) + complete(40_000) +
                sent(call = "c2") + problem("unknown", 20, call = "c2") +
                sent(call = "c3") + problem("not-run", 20, call = "c3") +
                sent(call = "c4") + served("s1", 10, call = "c4") + problem("ran", 20, call = "c4")
            InvariantChecker(events).check().classes shouldBe
                mapOf("book" to ClassOutcome(accepted = 3, late = 1, unknown = 1, refusedNotRun = 1, failed = 1))
        }
    }) {
    private companion object {
        fun sent(send: String = "1", at: Long = 0, call: String = "c1") =
            listOf(CallerEvent.Sent(at, call, send, "book", false, 30_000, "a b c"))

        fun served(server: String, at: Long, inFlight: Int = 1, call: String = "c1"): List<JournalEvent> {
            val served = ServedCall(server, call, "r", "r-1")
            return listOf(
                ServerEvent.Accepted(at, served, "v1", "a", "/bookings", "k", inFlight, 2),
                ServerEvent.Started(at, served),
                ServerEvent.Finished(at + 1, served, 200),
            )
        }

        fun complete(at: Long, text: String = "a b c", send: String = "1") = listOf(
            CallerEvent.Head(at - 2, "c1", send, 200),
            CallerEvent.Chunk(at - 1, "c1", send, text),
            CallerEvent.Complete(at, "c1", send),
        )

        fun problem(ran: String, at: Long, send: String = "1", call: String = "c1") =
            listOf(CallerEvent.Problem(at, call, send, "Overloaded", ran))

        operator fun JournalEvent.plus(others: List<JournalEvent>): List<JournalEvent> = listOf(this) + others
    }
}
