package org.berylpoint.testkit.check

import kotlinx.serialization.Serializable

/** What the journals show: broken promises, and the fate of the calls of each request class. */
public data class CheckReport(val violations: List<Violation>, val classes: Map<String, ClassOutcome>) {
    /** The table as text, one class a line. */
    override fun toString(): String = buildString {
        appendLine("class accepted once late not-run unknown failed twice")
        for ((name, it) in classes) {
            appendLine(
                "$name ${it.accepted} ${it.completedOnce} ${it.late} ${it.refusedNotRun} ${it.unknown} " +
                    "${it.failed} ${it.runTwice}",
            )
        }
        violations.forEach { appendLine("violation: ${it.kind} ${it.call} ${it.detail}") }
    }
}

/** One broken promise; [call] is the caller's tag. */
@Serializable
public data class Violation(val kind: ViolationKind, val call: String, val detail: String)

/** The promises that journals can show to be broken. */
@Serializable
public enum class ViolationKind {
    /** A non-idempotent call ran more than once. */
    RUN_TWICE,

    /** `not-run` was said of a call that reached a server. */
    FALSE_NOT_RUN,

    /** A complete answer is not the whole answer to the call. */
    INCOMPLETE_ANSWER,

    /** A piece of an answer does not belong to the call, or is out of place. */
    WRONG_ANSWER,

    /** A call got neither an answer nor a problem, or was recorded as accepted and never run. */
    LOST,

    /** A server got more calls than it carries. */
    OVER_LIMIT,

    /** A leaving server got new work after the grace. */
    WORK_AFTER_LEAVE,

    /** A failure domain taken out of service got new work after the grace. */
    WORK_AFTER_TAKE_OUT,
}

/** Calls of one request class by outcome; a call that was sent again counts once, by its best outcome. */
@Serializable
public data class ClassOutcome(
    /** Calls that the entry instances did not refuse as not run. */
    val accepted: Int = 0,
    /** Complete, run once if it must be, within the deadline. */
    val completedOnce: Int = 0,
    /** Complete after the deadline. */
    val late: Int = 0,
    val refusedNotRun: Int = 0,
    /** Ended with run state `unknown`, or the connection to the entry instance broke. */
    val unknown: Int = 0,
    /** Ended with run state `ran` and no complete answer. */
    val failed: Int = 0,
    /** Non-idempotent calls that ran more than once. */
    val runTwice: Int = 0,
)
