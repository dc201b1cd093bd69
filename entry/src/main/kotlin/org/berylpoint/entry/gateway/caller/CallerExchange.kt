package org.berylpoint.entry.gateway.caller

/** A caller's HTTP request. */
public class CallerRequest(
    public val method: String,
    /** Path and query, not decoded. */
    public val target: String,
    /** Value of the `Host` header without the port, in lowercase. */
    public val host: String,
    public val headers: List<Pair<String, String>>,
    public val body: ByteArray,
    /** Time since the first byte of the request was read, when the request was handed over. */
    public val ageMillis: Long = 0,
) {
    /** Path without the query. */
    public val path: String get() = target.substringBefore('?')

    /** First value of the header [name], ignoring case; null without one. */
    public fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
}

/** A caller's request and the response to it. Writing throws `IOException` if the caller has disconnected. */
public interface CallerExchange {
    public val request: CallerRequest

    /** Whether the caller has closed its connection. Callable from any thread, also after the response. */
    public fun isDisconnected(): Boolean

    /** Sends a complete response. */
    public fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray)

    /** Sends the head of a response whose body follows in [write] calls. */
    public fun startResponse(status: Int, headers: List<Pair<String, String>>)

    /** Sends a part of the body without buffering it. */
    public fun write(bytes: ByteArray)

    /** Completes a response that [startResponse] started. */
    public fun completeResponse()

    /** Closes the connection, so that the caller can't take the response for complete. Always throws `IOException`. */
    public fun abort()
}
