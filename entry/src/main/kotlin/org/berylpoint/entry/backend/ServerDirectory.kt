package org.berylpoint.entry.backend

import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.RequestClass

/** The backend servers of the catalogue and of the platform's instance list, with their state. */
public interface ServerDirectory {
    /** Servers of a class that may get new work: listed, not leaving, their failure domain in service. */
    public fun candidates(requestClass: RequestClass): List<ListedServer>

    /** One server by id, whatever its state. */
    public fun find(id: BackendServerId): ListedServer?

    /** All known servers, those that leave included. */
    public fun all(): List<ListedServer>
}

/** A backend server with the entry it carries and its state. */
public data class ListedServer(val server: BackendServer, val entry: CatalogueEntry, val state: State) {
    public sealed interface State {
        public data object InService : State

        /** Leaves within [remainingMillis]; null when no time is set, as for a retired entry. */
        public data class Leaving(val remainingMillis: Long?) : State
    }
}
