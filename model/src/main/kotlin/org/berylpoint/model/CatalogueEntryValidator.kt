package org.berylpoint.model

/** Validates one catalogue entry without regard to other entries. */
internal class CatalogueEntryValidator(private val entry: CatalogueEntry) {
    private val subject = "entry ${entry.name}"

    fun faults(): List<CatalogueFault> = nameFaults() + limitFaults() + entry.servers.flatMap(::serverFaults)

    private fun nameFaults(): List<CatalogueFault> = listOfNotNull(
        patternFault("name", entry.name.value, LOWERCASE_NAME),
        patternFault("owner", entry.owner.name, LOWERCASE_NAME),
        patternFault("requestClass", entry.requestClass.name, LOWERCASE_NAME),
        patternFault("version", entry.version.value, MIXED_CASE_NAME),
    )

    private fun limitFaults(): List<CatalogueFault> = with(entry.limits) {
        listOfNotNull(
            rangeFault("limits.maxInFlight", maxInFlight.toLong(), 1L..MAX_IN_FLIGHT),
            rangeFault("limits.rampStart", rampStart.toLong(), 1L..maxInFlight.toLong().coerceIn(1L, MAX_IN_FLIGHT)),
            rangeFault("limits.rampMillis", rampMillis, 0L..MAX_DURATION_MILLIS),
            rangeFault("limits.maxRunMillis", maxRunMillis, 1L..MAX_DURATION_MILLIS),
            rangeFault("limits.defaultDeadlineMillis", defaultDeadlineMillis, 1L..MAX_DURATION_MILLIS),
            rangeFault("limits.queueLimit", queueLimit.toLong(), 0L..MAX_QUEUE_LIMIT),
            rangeFault("limits.firstByteMillis", firstByteMillis, 1L..maxRunMillis.coerceIn(1L, MAX_DURATION_MILLIS)),
            fault("limits.worth", worth.toString(), "a number above 0 and at most $MAX_WORTH")
                .takeUnless { worth > 0 && worth <= MAX_WORTH },
        )
    }

    private fun serverFaults(server: BackendServer): List<CatalogueFault> {
        val field = "servers[${server.id}]"
        return listOfNotNull(
            patternFault("$field.id", server.id.value, MIXED_CASE_NAME),
            patternFault("$field.failureDomain", server.failureDomain.name, LOWERCASE_NAME),
            fault("$field.address", server.address, "http:// with an IP number and a port from 1 to 65535")
                .takeUnless { isHttpAddress(server.address) },
            rangeFault("$field.pricePerHourMilli", server.pricePerHourMilli, 0L..MAX_PRICE_MILLI),
        )
    }

    private fun patternFault(field: String, value: String, rule: NameRule): CatalogueFault? =
        fault(field, value, rule.description).takeUnless { rule.regex.matches(value) }

    private fun rangeFault(field: String, value: Long, range: LongRange): CatalogueFault? =
        fault(field, value.toString(), "a whole number from ${range.first} to ${range.last}").takeUnless {
            value in range
        }

    private fun fault(field: String, value: String, expected: String) = CatalogueFault(subject, field, value, expected)

    private class NameRule(val regex: Regex, val description: String)

    private companion object {
        const val MAX_IN_FLIGHT = 10_000L
        const val MAX_QUEUE_LIMIT = 100_000L
        const val MAX_WORTH = 1_000.0
        const val MAX_DURATION_MILLIS = 3_600_000L
        const val MAX_PRICE_MILLI = 1_000_000_000L
        val LOWERCASE_NAME = NameRule(Regex("[a-z0-9][a-z0-9.-]{0,62}"), "1 to 63 of a-z, 0-9, '.' and '-'")
        val MIXED_CASE_NAME =
            NameRule(Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,62}"), "1 to 63 of A-Z, a-z, 0-9, '.', '_' and '-'")
    }
}

private val HTTP_ADDRESS_V4 = Regex("""http://(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")
private val HTTP_ADDRESS_V6 = Regex("""http://\[[0-9a-fA-F:.]{2,45}]:(\d{1,5})""")

/** Whether [address] has an IP address and a port; host names are rejected, since the processes use no name service. */
private fun isHttpAddress(address: String): Boolean {
    HTTP_ADDRESS_V6.matchEntire(address)?.let { return it.groupValues[1].toInt() in 1..65_535 }
    val groups = HTTP_ADDRESS_V4.matchEntire(address)?.groupValues?.drop(1)?.map { it.toInt() } ?: return false
    return groups.take(4).all { it <= 255 } && groups[4] in 1..65_535
}
