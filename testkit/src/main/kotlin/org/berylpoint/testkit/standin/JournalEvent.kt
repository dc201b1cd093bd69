package org.berylpoint.testkit.standin

import kotlinx.serialization.Serializable

/** One line of a journal; times are in milliseconds on the journal's clock. */
@Serializable
public sealed interface JournalEvent {
    public val atMillis: Long
}

/** Which call a server event belongs to. */
@Serializable
public data class ServedCall(
    val server: String,
    /** The caller's tag, read from the body; see [callTag]. */
    val call: String,
    val request: String,
    val attempt: String,
)

/** What a backend server did, written by the stand-in itself. */
@Serializable
public sealed interface ServerEvent : JournalEvent {
    public val served: ServedCall

    /** The server read the request. [inFlight] counts this call, [limit] is what the server carries now. */
    @Serializable
    public data class Accepted(
        override val atMillis: Long,
        override val served: ServedCall,
        val version: String,
        val domain: String,
        val path: String,
        val idempotencyKey: String?,
        val inFlight: Int,
        val limit: Int,
    ) : ServerEvent

    /** The call's effect begins: from here on a booking counts as run. */
    @Serializable
    public data class Started(override val atMillis: Long, override val served: ServedCall) : ServerEvent

    /** The engine generated the token at [position] of the whole answer. */
    @Serializable
    public data class Token(override val atMillis: Long, override val served: ServedCall, val position: Int) :
        ServerEvent

    @Serializable
    public data class Finished(override val atMillis: Long, override val served: ServedCall, val status: Int) :
        ServerEvent

    /** The connection was closed by the entry instance and the engine stopped generating. */
    @Serializable
    public data class Cancelled(override val atMillis: Long, override val served: ServedCall) : ServerEvent

    /** The process ended while the call was running; [caused] marks the call that made it crash. */
    @Serializable
    public data class Crashed(override val atMillis: Long, override val served: ServedCall, val caused: Boolean) :
        ServerEvent

    /** The server answered with an error without running the call. */
    @Serializable
    public data class Refused(override val atMillis: Long, override val served: ServedCall, val status: Int) :
        ServerEvent
}

/** What a caller did and saw. [call] is the tag in the body, [send] tells repeats of one call apart. */
@Serializable
public sealed interface CallerEvent : JournalEvent {
    public val call: String
    public val send: String

    /** [expected] is the whole answer text that the call must get, null when any is right. */
    @Serializable
    public data class Sent(
        override val atMillis: Long,
        override val call: String,
        override val send: String,
        val requestClass: String,
        val idempotent: Boolean,
        val deadlineMillis: Long,
        val expected: String? = null,
    ) : CallerEvent

    @Serializable
    public data class Head(
        override val atMillis: Long,
        override val call: String,
        override val send: String,
        val status: Int,
    ) : CallerEvent

    /** A piece of the answer's text, already taken out of its envelope. */
    @Serializable
    public data class Chunk(
        override val atMillis: Long,
        override val call: String,
        override val send: String,
        val text: String,
    ) : CallerEvent

    @Serializable
    public data class Complete(override val atMillis: Long, override val call: String, override val send: String) :
        CallerEvent

    /** A problem in place of the answer or of its rest; [ran] is the wire word. */
    @Serializable
    public data class Problem(
        override val atMillis: Long,
        override val call: String,
        override val send: String,
        val kind: String,
        val ran: String,
    ) : CallerEvent

    /** The connection to the entry instance broke, or the caller gave up. */
    @Serializable
    public data class Disconnected(override val atMillis: Long, override val call: String, override val send: String) :
        CallerEvent
}

/** A change of the surroundings that the checker measures against, written by the test or the operator's side. */
@Serializable
public sealed interface SceneEvent : JournalEvent {
    /** The server must get no new work from now on: its leave was announced or its entry retired. */
    @Serializable
    public data class ServerLeaves(override val atMillis: Long, val server: String) : SceneEvent

    /** A server of this name was started, perhaps again. */
    @Serializable
    public data class ServerStarted(override val atMillis: Long, val server: String) : SceneEvent

    /** A warm server lost its warmth without telling anybody. */
    @Serializable
    public data class ServerBecameCold(override val atMillis: Long, val server: String) : SceneEvent

    @Serializable
    public data class DomainTakenOut(override val atMillis: Long, val domain: String) : SceneEvent

    @Serializable
    public data class DomainBroughtBack(override val atMillis: Long, val domain: String) : SceneEvent

    /** The table service holds a record that the non-idempotent [call] was accepted. */
    @Serializable
    public data class RecordedAsAccepted(override val atMillis: Long, val call: String) : SceneEvent
}
