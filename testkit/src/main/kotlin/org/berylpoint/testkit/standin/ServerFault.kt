package org.berylpoint.testkit.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A lasting fault of a stand-in server, switched on and off by tests at any time. */
@Serializable
public sealed interface ServerFault {
    /** The process ends when it runs a body that contains [marker]. */
    @Serializable
    @SerialName("crash-on-body")
    public data class CrashOnBody(val marker: String) : ServerFault

    /** Answers with [status] in place of running the call, where [scope] applies. */
    @Serializable
    @SerialName("fail")
    public data class Fail(val scope: FaultScope = FaultScope(), val status: Int = 500) : ServerFault

    /** Takes [factor] times as long, where [scope] applies. */
    @Serializable
    @SerialName("slow")
    public data class Slow(val scope: FaultScope = FaultScope(), val factor: Double = 10.0) : ServerFault

    /** The stream or body breaks off in the middle, where [scope] applies. */
    @Serializable
    @SerialName("break-off")
    public data class BreakOff(val scope: FaultScope = FaultScope()) : ServerFault

    /** Each part of an answer arrives [delayMillis] later than it was made. */
    @Serializable
    @SerialName("late")
    public data class Late(val delayMillis: Long) : ServerFault

    /** Each part of a stream arrives twice. */
    @Serializable
    @SerialName("duplicated")
    public data object Duplicated : ServerFault

    /** Neighbouring parts of a stream arrive in the wrong order. */
    @Serializable
    @SerialName("out-of-order")
    public data object OutOfOrder : ServerFault
}

/** When a fault applies: all conditions must hold. */
@Serializable
public data class FaultScope(
    /** Time since the fault was switched on. */
    val afterMillis: Long = 0,
    /** Calls in flight on the server, this one included. */
    val minInFlight: Int = 0,
    /** Only calls on this path. */
    val route: String? = null,
    val probability: Double = 1.0,
)

/** What a server does when it is given more calls than it carries. */
@Serializable
public enum class OverloadBehaviour {
    /** Calls wait inside the server for a slot, and everything slows down. */
    SLOW,

    /** The process ends. */
    CRASH,

    /** The call is answered with status 503. */
    REFUSE,
}
