package org.berylpoint.entry.judgement

import arrow.core.Either
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.VersionName

/**
 * Decides from evidence pooled over the entry instances how much traffic a version receives and which requests run.
 *
 * It attributes bad outcomes to a version, a route, a link or a single request.
 */
public interface Judge {
    /**
     * The share of a class's new requests for each version. The shares sum to 1, and that of a version judged bad is 0;
     * empty until a catalogue is known.
     */
    public fun trafficShares(requestClass: RequestClass, route: String): Map<VersionName, Double>

    /** Adds the outcome of an attempt on [route] at [server] to the evidence. */
    public fun recordOutcome(entry: CatalogueEntry, server: BackendServer, route: String, outcome: EvidenceOutcome)

    /**
     * Waits until an attempt of a request may start. A request without a known crash may start at once, one with a
     * crash after the reachable peers have agreed; after two crashes the attempt is refused with `Quarantined`.
     */
    public suspend fun permitAttempt(fingerprint: Fingerprint, attempt: String): Either<Problem, Unit>

    /**
     * Like `permitAttempt` without a server, for an attempt on [server]. For a limited time, only one of the requests
     * with a known crash is allowed on [server], so that a second crash identifies the request that caused the first.
     */
    public suspend fun permitAttempt(
        fingerprint: Fingerprint,
        attempt: String,
        server: BackendServerId,
    ): Either<Problem, Unit> = permitAttempt(fingerprint, attempt)

    /** Records that [attempt] crashed a backend server; the crash is not evidence against a version. */
    public fun recordCrash(fingerprint: Fingerprint, attempt: String)

    /** Releases a permitted attempt that ended without a crash or was never sent. */
    public fun releaseAttempt(fingerprint: Fingerprint, attempt: String) {}
}

/** Outcome of an attempt as evidence about a version; [SLOW] counts as bad unless the server may be cold. */
public enum class EvidenceOutcome { GOOD, FAILED, SLOW }
