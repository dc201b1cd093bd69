package org.berylpoint.entry.gateway.caller

/** A request as a caller sent it. */
public class CallerRequest(
    public val method: String,
    /** Path and query as they were sent. */
    public val target: String,
    /** Host without its port, in lowercase. */
    public val host: String,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
) {
    /** Path without the query. */
    public val path: String get() = target.substringBefore('?')

    /** The first value of a header, or null. */
    public fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

/** One request of a caller and the way back to it. Calls throw `IOException` when the caller has gone. */
public interface CallerExchange {
    public val request: CallerRequest

    /** Whether the caller has closed its connection. */
    public fun isDisconnected(): Boolean

    /** Sends a whole answer. */
    public fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray)

    /** Starts an answer that is sent in parts. */
    public fun startResponse(status: Int, headers: List<Pair<String, String>>)

    /** Sends a part at once. */
    public fun write(bytes: ByteArray)

    /** Marks the answer as complete. */
    public fun completeResponse()

    /** Breaks the connection off, so that the answer can't be taken for complete. */
    public fun abort()
}
