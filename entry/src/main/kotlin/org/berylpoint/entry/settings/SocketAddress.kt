package org.berylpoint.entry.settings

/** An IP address, in brackets for IPv6, and a port. */
public data class SocketAddress(val host: String, val port: Int) {
    /** Whether the host is the wildcard address, which listens on all addresses of the machine. */
    public val isWildcard: Boolean get() = host == "0.0.0.0" || host == "[::]"

    override fun toString(): String = "$host:$port"
}

private val V4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
private val V6 = Regex("""\[[0-9a-fA-F]{0,4}(:[0-9a-fA-F]{0,4}){2,7}]""")
private val PORT = Regex("""[1-9]\d{0,4}""")
private const val MAX_PORT = 65_535

/** Parses `host:port`. Null unless the host is an IP address, because the processes don't resolve names. */
internal fun parseSocketAddress(text: String): SocketAddress? {
    val host = text.substringBeforeLast(':')
    val port = text.substringAfterLast(':', "").takeIf(PORT::matches)?.toInt()?.takeIf { it <= MAX_PORT }
    val isIpAddress = V4.matchEntire(host)?.groupValues?.drop(1)?.all { it.toInt() <= 255 } ?: V6.matches(host)
    return if (port != null && isIpAddress) SocketAddress(host, port) else null
}
