package org.berylpoint.testkit.rig

import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.ClassLimits
import org.berylpoint.model.EntryName
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.RequestClass
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.VersionName
import org.berylpoint.model.Workspace

/** The size of a [Site]; the defaults are those of the sites that run today. */
public data class SitePlan(
    val domains: List<String> = listOf("muc-a", "muc-b", "aug-a", "rgb-a"),
    val instances: Int = 9,
    val engines: Int = 13,
    val plainServers: Int = 4,
    val chat: ClassLimits = ClassLimits(maxInFlight = 16, rampStart = 2, rampMillis = 20_000, maxRunMillis = 30_000),
    val booking: ClassLimits = ClassLimits(
        maxInFlight = 16,
        rampStart = 4,
        rampMillis = 10_000,
        maxRunMillis = 10_000,
        worth = 10.0,
        idempotent = false,
    ),
    val kvTransfer: Boolean = true,
) {
    /** The failure domain of the n-th machine: they are dealt out in turn. */
    public fun domainOf(number: Int): FailureDomain = FailureDomain(domains[number % domains.size])

    /** The entry of the model engines. */
    public fun chatEntry(version: String = "v1"): CatalogueEntry = CatalogueEntry(
        name = EntryName("chat-$version"),
        owner = Workspace("members"),
        requestClass = RequestClass("chat"),
        kind = ServiceKind.MODEL,
        version = VersionName(version),
        limits = chat,
        servers = List(engines) { server("engine", version, it) },
        kvTransfer = kvTransfer,
    )

    /** The entry of the plain booking service. */
    public fun bookingEntry(version: String = "v1"): CatalogueEntry = CatalogueEntry(
        name = EntryName("booking-$version"),
        owner = Workspace("branches"),
        requestClass = RequestClass("booking"),
        kind = ServiceKind.PLAIN,
        version = VersionName(version),
        limits = booking,
        servers = List(plainServers) { server("booking", version, it) },
    )

    private fun server(kind: String, version: String, number: Int) = BackendServer(
        id = BackendServerId("$kind-$version-$number"),
        failureDomain = domainOf(number),
        // Nothing listens there: the stand-ins are found by this text. Different versions get different addresses.
        address = "http://10.${kind.length}.${number / PER_NETWORK}.${number % PER_NETWORK + 1}:${portOf(version)}",
        reclaimable = number % RECLAIMABLE_OUT_OF != 0,
        pricePerHourMilli = if (number % RECLAIMABLE_OUT_OF != 0) RECLAIMABLE_PRICE else ON_DEMAND_PRICE,
    )

    private fun portOf(version: String) = FIRST_PORT + version.hashCode().mod(PORTS)

    private companion object {
        // 85 in 100 machines are reclaimable: about 6 of 7.
        const val RECLAIMABLE_OUT_OF = 7
        const val PER_NETWORK = 200
        const val FIRST_PORT = 9_000
        const val PORTS = 1_000
        const val RECLAIMABLE_PRICE = 400L
        const val ON_DEMAND_PRICE = 1_500L
    }
}
