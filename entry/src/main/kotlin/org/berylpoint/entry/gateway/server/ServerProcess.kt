package org.berylpoint.entry.gateway.server

import org.berylpoint.model.serving.RegisteredServer

/** One process of a server, which may start again under the same [id]. */
internal data class ServerProcess(val id: String, val startedAtMillis: Long) {
    companion object {
        fun of(server: RegisteredServer): ServerProcess = ServerProcess(server.id.value, server.startedAtMillis)
    }
}
