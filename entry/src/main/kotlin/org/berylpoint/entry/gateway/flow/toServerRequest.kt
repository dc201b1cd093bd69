package org.berylpoint.entry.gateway.flow

import org.berylpoint.entry.gateway.server.SendObstacle
import org.berylpoint.entry.gateway.server.ServerRequest
import org.berylpoint.entry.gateway.server.ServerReservation
import org.berylpoint.model.serving.RetrySafety
import org.berylpoint.platform.wire.RequestHeaders

private val CONNECTION_HEADERS = setOf(
    "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection",
    "proxy-authorization", "content-length", "expect",
)

/**
 * The request to the server of [reservation], without the headers of the caller's connection. A stream that was
 * interrupted is requested from the last event that was sent to the caller.
 */
internal fun AdmittedRequest.toServerRequest(
    reservation: ServerReservation,
    remainingMillis: Long,
    progress: ResponseProgress,
    findObstacle: () -> SendObstacle?,
): ServerRequest {
    val listedInConnection = caller.header("Connection").orEmpty().split(',').map { it.trim().lowercase() }.toSet()
    val resumeAfter = progress.lastEventId
    val headers = caller.headers.filter { (name, _) ->
        val key = name.lowercase()
        key !in CONNECTION_HEADERS &&
            key !in listedInConnection &&
            key !in RequestHeaders.OWN &&
            !(resumeAfter != null && key == RequestHeaders.LAST_EVENT_ID.lowercase())
    }.toMutableList()
    headers += RequestHeaders.DEADLINE_MILLIS to remainingMillis.coerceAtLeast(1).toString()
    headers += RequestHeaders.EXPECTED_SERVER to reservation.server.entry.id.value
    if (workspace != null) headers += RequestHeaders.WORKSPACE to workspace.workspace.name
    if (service.engine != null) headers += RequestHeaders.SERVER_PRIORITY to serverPriority.toString()
    if (resumeAfter != null) headers += RequestHeaders.LAST_EVENT_ID to resumeAfter.toString()
    return ServerRequest(
        id,
        caller.method,
        caller.target,
        headers,
        caller.body,
        isStream,
        needsNewConnection = route.retrySafety == RetrySafety.AT_MOST_ONCE,
        findObstacle = findObstacle,
    )
}
