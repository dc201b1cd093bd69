package org.berylpoint.entry.pipeline

import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.ownership.Grant

/** A server chosen for an attempt, and the grant of a place (a slot in flight) on it. */
internal class Placement(val listed: ListedServer, val grant: Grant) {
    val server get() = listed.server
}
