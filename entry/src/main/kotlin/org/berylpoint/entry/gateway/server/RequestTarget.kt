package org.berylpoint.entry.gateway.server

/** Checks of the target of a request, which is forwarded byte for byte. */
internal object RequestTarget {
    private const val PUNCTUATION = "-._~!$&'()*+,;=:@"
    private const val ENCODED_LENGTH = 3
    private val DOT_SEGMENT = Regex("""(?:\.|%2e){1,2}""", RegexOption.IGNORE_CASE)

    /**
     * Whether [target] is sent as it is and means the same to every server. A server may resolve dot segments, and
     * would then run a request outside of the route that matched it.
     */
    fun isSendable(target: String): Boolean {
        val path = target.substringBefore('?')
        val query = target.substring(path.length)
        return isPath(path) && query.all { it in '!'..'~' && it != '#' } && path.split('/').none(DOT_SEGMENT::matches)
    }

    /** Whether [path] is an absolute path of RFC 3986. A pattern would need a stack as deep as the path is long. */
    private fun isPath(path: String): Boolean {
        if (!path.startsWith('/')) return false
        var index = 0
        while (index < path.length) {
            index += when {
                isPlain(path[index]) -> 1
                isEncoded(path, index) -> ENCODED_LENGTH
                else -> return false
            }
        }
        return true
    }

    private fun isPlain(char: Char) =
        char == '/' || char in 'a'..'z' || char in 'A'..'Z' || char in '0'..'9' || char in PUNCTUATION

    private fun isEncoded(path: String, index: Int): Boolean {
        if (path[index] != '%' || index + ENCODED_LENGTH > path.length) return false
        return path.substring(index + 1, index + ENCODED_LENGTH).all { it in "0123456789abcdefABCDEF" }
    }
}
