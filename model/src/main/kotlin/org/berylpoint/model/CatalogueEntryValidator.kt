package org.berylpoint.model

/** The rules for one catalogue entry by itself. */
internal class CatalogueEntryValidator(private val entry: CatalogueEntry) {
    private val subject = "entry ${entry.name}"

    fun faults(): List<CatalogueFault> = names() + limits() + entry.servers.flatMap(::server)

    private fun names(): List<CatalogueFault> = listOfNotNull(
        pattern("name", entry.name.value, NAME),
        pattern("owner", entry.owner.name, NAME),
        pattern("requestClass", entry.requestClass.name, NAME),
        pattern("version", entry.version.value, VERSION),
    )

    private fun limits(): List<CatalogueFault> = with(entry.limits) {
        listOfNotNull(
            range("limits.maxInFlight", maxInFlight.toLong(), 1L..MAX_IN_FLIGHT),
            range("limits.rampStart", rampStart.toLong(), 1L..maxInFlight.toLong().coerceIn(1L, MAX_IN_FLIGHT)),
            range("limits.rampMillis", rampMillis, 0L..HOUR_MILLIS),
            range("limits.maxRunMillis", maxRunMillis, 1L..HOUR_MILLIS),
            range("limits.defaultDeadlineMillis", defaultDeadlineMillis, 1L..HOUR_MILLIS),
            range("limits.queueLimit", queueLimit.toLong(), 0L..MAX_QUEUE),
            range("limits.firstByteMillis", firstByteMillis, 1L..maxRunMillis.coerceIn(1L, HOUR_MILLIS)),
            fault("limits.worth", worth.toString(), "a number above 0 and at most $MAX_WORTH")
                .takeUnless { worth > 0 && worth <= MAX_WORTH },
        )
    }

    private fun server(server: BackendServer): List<CatalogueFault> {
        val field = "servers[${server.id}]"
        return listOfNotNull(
            pattern("$field.id", server.id.value, VERSION),
            pattern("$field.failureDomain", server.failureDomain.name, NAME),
            fault("$field.address", server.address, "http:// with an IP number and a port from 1 to 65535")
                .takeUnless { isHttpAddress(server.address) },
            range("$field.pricePerHourMilli", server.pricePerHourMilli, 0L..MAX_PRICE_MILLI),
        )
    }

    private fun pattern(field: String, value: String, rule: NameRule): CatalogueFault? =
        fault(field, value, rule.text).takeUnless { rule.regex.matches(value) }

    private fun range(field: String, value: Long, range: LongRange): CatalogueFault? =
        fault(field, value.toString(), "a whole number from ${range.first} to ${range.last}").takeUnless {
            value in range
        }

    private fun fault(field: String, value: String, expected: String) = CatalogueFault(subject, field, value, expected)

    private class NameRule(val regex: Regex, val text: String)

    private companion object {
        const val MAX_IN_FLIGHT = 10_000L
        const val MAX_QUEUE = 100_000L
        const val MAX_WORTH = 1_000.0
        const val HOUR_MILLIS = 3_600_000L
        const val MAX_PRICE_MILLI = 1_000_000_000L
        val NAME = NameRule(Regex("[a-z0-9][a-z0-9.-]{0,62}"), "1 to 63 of a-z, 0-9, '.' and '-'")
        val VERSION =
            NameRule(Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"), "1 to 63 of A-Z, a-z, 0-9, '.', '_' and '-'")
    }
}

private val HTTP_ADDRESS = Regex("""http://(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")
private val HTTP_ADDRESS_V6 = Regex("""http://\[[0-9a-fA-F:.]{2,45}]:(\d{1,5})""")

/** Backend servers are addressed by IP number, since the processes use no name service. */
private fun isHttpAddress(address: String): Boolean {
    HTTP_ADDRESS_V6.matchEntire(address)?.let { return it.groupValues[1].toInt() in 1..65_535 }
    val groups = HTTP_ADDRESS.matchEntire(address)?.groupValues?.drop(1)?.map { it.toInt() } ?: return false
    return groups.take(4).all { it <= 255 } && groups[4] in 1..65_535
}
