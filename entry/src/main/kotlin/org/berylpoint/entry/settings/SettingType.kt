package org.berylpoint.entry.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * Parser of a setting's value.
 *
 * [description] describes the accepted values, in faults and in the table of `docs/settings.md`. [read] returns null
 * for a value that is not accepted.
 */
internal class SettingType<T>(val description: String, private val read: (String) -> T?) {
    /** Parses [text]; the left value is [description]. */
    fun parse(text: String): Either<String, T> = read(text)?.right() ?: description.left()

    companion object {
        private val NAME = Regex("[a-z0-9][a-z0-9.-]{0,62}")
        private val WHOLE_NUMBER = Regex("""-?\d{1,18}""")

        val name = SettingType("1 to 63 of a-z, 0-9, '.' and '-'") { text -> text.takeIf(NAME::matches) }

        /** An address to listen on. */
        val listenAddress = SettingType("an IP number and a port, as in 127.0.0.1:7400", ::parseSocketAddress)

        /** An address that others connect to, so not a wildcard. */
        val dialAddress = SettingType("an IP number other than 0.0.0.0 or [::], and a port, as in 10.0.0.1:7400") {
            parseSocketAddress(it)?.takeUnless { address -> address.isWildcard }
        }

        val httpAddress = SettingType("http:// with an IP number and a port, as in http://10.0.0.9:8000") { text ->
            text.takeIf {
                it.startsWith(HTTP_SCHEME) && parseSocketAddress(it.removePrefix(HTTP_SCHEME))?.isWildcard == false
            }
        }

        val addressList = SettingType("a comma-separated list of IP numbers with ports, or nothing") { text ->
            val items = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
            items.mapNotNull { dialAddress.read(it) }.takeIf { it.size == items.size }
        }

        val nameList = SettingType("a comma-separated list of names of a-z, 0-9, '.' and '-', or nothing") { text ->
            val items = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
            items.takeIf { it.all(NAME::matches) }
        }

        val text = SettingType("text that is not empty") { it.ifEmpty { null } }

        /** A whole number without a unit; [unit] appears only in the description. */
        fun number(range: LongRange, unit: String) =
            SettingType("a whole number of $unit from ${range.first} to ${range.last}") { text ->
                text.takeIf(WHOLE_NUMBER::matches)?.toLong()?.takeIf { it in range }
            }

        inline fun <reified E : Enum<E>> choice() = enumValues<E>().let { values ->
            SettingType("one of " + values.joinToString { it.name.lowercase() }) { text ->
                values.firstOrNull { it.name.lowercase() == text }
            }
        }

        private const val HTTP_SCHEME = "http://"
    }
}
