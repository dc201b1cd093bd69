package org.berylpoint.entry.gateway.server

import org.berylpoint.model.VersionName
import org.berylpoint.model.serving.ServiceName

/**
 * The versions that may run a request: one of [preferred], or of [otherwise] if no server of those takes it. Neither if
 * both are empty.
 */
public data class VersionChoice(val preferred: Set<VersionName>, val otherwise: Set<VersionName> = emptySet())

/** Splits the traffic of a service between its versions during a rollout. */
public fun interface VersionSelector {
    /** Selects among [versions], those of usable servers, for a request; null if no rollout restricts the choice. */
    public fun selectVersions(service: ServiceName, versions: Set<VersionName>): VersionChoice?

    /** Whether servers of [version] must not get requests, also those for which one was selected before. */
    public fun isBarred(service: ServiceName, version: VersionName): Boolean = false

    /** Records that a request goes to a server of [version]. */
    public fun recordRequest(service: ServiceName, version: VersionName) {}
}
