package org.berylpoint.entry.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right

/**
 * How the text of a setting becomes a value.
 *
 * [description] is what a fault and the table in `docs/settings.md` say of the values that are accepted.
 */
internal class SettingType<T>(val description: String, private val read: (String) -> T?) {
    fun parse(text: String): Either<String, T> = read(text)?.right() ?: description.left()

    companion object {
        private val NAME = Regex("[a-z0-9][a-z0-9.-]{0,62}")
        private val WHOLE_NUMBER = Regex("""-?\d{1,18}""")

        val name = SettingType("1 to 63 of a-z, 0-9, '.' and '-'") { text -> text.takeIf(NAME::matches) }

        /** An address to listen on. */
        val listenAddress = SettingType("an IP number and a port, as in 127.0.0.1:7400", ::parseSocketAddress)

        /** An address that others dial, so a wildcard is of no use. */
        val dialAddress = SettingType("an IP number other than 0.0.0.0 or [::], and a port, as in 10.0.0.1:7400") {
            parseSocketAddress(it)?.takeUnless { address -> address.isWildcard }
        }

        val httpAddress = SettingType("http:// with an IP number and a port, as in http://10.0.0.9:8000") { text ->
            text.takeIf { it.startsWith(HTTP) && parseSocketAddress(it.removePrefix(HTTP))?.isWildcard == false }
        }

        val addressList = SettingType("a comma-separated list of IP numbers with ports, or nothing") { text ->
            val parts = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
            parts.mapNotNull { dialAddress.read(it) }.takeIf { it.size == parts.size }
        }

        val nameList = SettingType("a comma-separated list of names of a-z, 0-9, '.' and '-', or nothing") { text ->
            val parts = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
            parts.takeIf { it.all(NAME::matches) }
        }

        val text = SettingType("text that is not empty") { it.ifEmpty { null } }

        /** A whole number with the unit that the key's name ends with; the value itself carries none. */
        fun number(range: LongRange, unit: String) =
            SettingType("a whole number of $unit from ${range.first} to ${range.last}") { text ->
                text.takeIf(WHOLE_NUMBER::matches)?.toLong()?.takeIf { it in range }
            }

        inline fun <reified E : Enum<E>> choice() = enumValues<E>().let { values ->
            SettingType("one of " + values.joinToString { it.name.lowercase() }) { text ->
                values.firstOrNull { it.name.lowercase() == text }
            }
        }

        private const val HTTP = "http://"
    }
}
