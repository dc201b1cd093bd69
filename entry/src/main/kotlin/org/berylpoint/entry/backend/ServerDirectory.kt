package org.berylpoint.entry.backend

import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.RequestClass

/** The backend servers of the catalogue and of the platform's instance list, with their state. */
public interface ServerDirectory {
    /** Servers of a class that accept new requests: listed, not leaving, and in a failure domain that is in service. */
    public fun candidates(requestClass: RequestClass): List<ListedServer>

    /** Returns a server by its id, whatever its state, or null if it is not listed. */
    public fun find(id: BackendServerId): ListedServer?

    /** All listed servers, including those that are leaving. */
    public fun all(): List<ListedServer>
}

/** A backend server with its catalogue entry and its state. */
public data class ListedServer(val server: BackendServer, val entry: CatalogueEntry, val state: State) {
    /** Whether the server accepts new requests. */
    public sealed interface State {
        public data object InService : State

        /** Leaves within [remainingMillis]; null if no time is set, as for a retired entry. */
        public data class Leaving(val remainingMillis: Long?) : State
    }
}
