package org.berylpoint.entry.gateway.flow

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.caller.CallerRequest
import org.berylpoint.entry.gateway.server.HttpServerClient
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.serving.ServingConfig
import org.berylpoint.model.serving.WorkspacePolicy
import org.berylpoint.platform.wire.RequestHeaders
import kotlin.random.Random

/** Why a request ends without a server's answer. */
internal class Refusal(val kind: ErrorKind, val cause: String, val retryAfterMillis: Long? = null)

/** First filters of a request: route, key, limits and cap. */
internal class Admission(
    private val clocks: Clocks,
    private val site: SiteState,
    private val counts: SharedCounts,
    private val random: Random,
) {
    fun admit(caller: CallerRequest, arrivedAtMillis: Long): Either<Refusal, AdmittedRequest> {
        val view = site.view
        val config = view.config
        if (config == null || !view.hasServers) {
            return Refusal(ErrorKind.NotReady, "no configuration is known yet", NOT_READY_WAIT_MILLIS).left()
        }
        val route = config.route(caller.host, caller.path)
            ?: return Refusal(ErrorKind.UnknownClass, "no route in version ${config.version}").left()
        val workspace = workspaceOf(caller, config)
        if (workspace == null && config.needsKeys && !route.isPublic) {
            return Refusal(ErrorKind.Unauthenticated, "no such key in version ${config.version}").left()
        }
        val service = config.services[route.drawService(random)]
            ?: return Refusal(ErrorKind.NoBackend, "the service is not configured", NOT_READY_WAIT_MILLIS).left()
        val id = caller.header(RequestHeaders.REQUEST_ID)
            ?: return Refusal(ErrorKind.MalformedRequest, "no request id").left()
        val hasBodyOfGet = caller.method in BODYLESS && caller.body.isNotEmpty()
        if (hasBodyOfGet || !HttpServerClient.canSend(caller.target)) {
            return Refusal(ErrorKind.MalformedRequest, "the target or body can't be forwarded unchanged").left()
        }
        val patience = caller.header(RequestHeaders.DEADLINE_MILLIS)?.trim()?.toDoubleOrNull()?.toLong()
        val limit = minOf(patience ?: route.timeoutMillis, route.timeoutMillis)
        val request = AdmittedRequest(
            id,
            caller,
            route,
            service,
            workspace.takeUnless { route.isPublic && workspace == null },
            arrivedAtMillis,
            arrivedAtMillis + limit,
            PromptTokens.of(caller),
        )
        return request.right()
    }

    /** Takes the request's cost out of its workspace's cap; null when it is within the cap. */
    fun charge(request: AdmittedRequest): Refusal? {
        val policy = request.workspace ?: return null
        val cost = request.capCost
        val wait = counts.admit(policy, cost) ?: return null
        return Refusal(
            ErrorKind.CapExceeded,
            "the cap of ${policy.workspace}, ${policy.ratePerSecond} a second and ${policy.burst}, is used up by $cost",
            wait,
        )
    }

    private fun workspaceOf(caller: CallerRequest, config: ServingConfig): WorkspacePolicy? {
        val header = caller.header(RequestHeaders.AUTHORIZATION) ?: return null
        if (!header.startsWith(SCHEME, ignoreCase = true)) return null
        return config.workspaceOf(header.substring(SCHEME.length).trim())
    }

    private companion object {
        const val SCHEME = "Bearer "
        const val NOT_READY_WAIT_MILLIS = 500L
        val BODYLESS = setOf("GET", "HEAD")
    }
}
