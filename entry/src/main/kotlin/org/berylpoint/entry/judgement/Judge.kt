package org.berylpoint.entry.judgement

import arrow.core.Either
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.VersionName

/** Tells bad versions, routes, links and requests apart by evidence pooled over the entry instances. */
public interface Judge {
    /** The share of new requests of a class that each version may get; shares sum to 1, a bad version has none. */
    public fun trafficShares(requestClass: RequestClass, route: String): Map<VersionName, Double>

    /** Counts the outcome of an attempt on [route] at [server]. */
    public fun recordOutcome(entry: CatalogueEntry, server: BackendServer, route: String, outcome: EvidenceOutcome)

    /**
     * Asks whether an attempt of a request may start: at once for one that crashed no server, else after agreement
     * of the reachable peers; refused with `Quarantined` after two crashes.
     */
    public suspend fun permitAttempt(fingerprint: Fingerprint, attempt: String): Either<Problem, Unit>

    /**
     * The same for an attempt on [server]. Of the requests that crashed a server it lets, for a while, only one run on
     * [server], so that a second crash shows which of the requests on the first server was its cause.
     */
    public suspend fun permitAttempt(
        fingerprint: Fingerprint,
        attempt: String,
        server: BackendServerId,
    ): Either<Problem, Unit> = permitAttempt(fingerprint, attempt)

    /** Notes that [attempt] crashed a backend server; it counts for no version. */
    public fun recordCrash(fingerprint: Fingerprint, attempt: String)

    /** Notes that a permitted attempt ended without a crash, or was never sent. */
    public fun releaseAttempt(fingerprint: Fingerprint, attempt: String) {}
}

/** How an attempt counts as evidence. */
public enum class EvidenceOutcome { GOOD, FAILED, SLOW }
