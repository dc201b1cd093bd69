package org.berylpoint.entry.gateway.flow

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import org.berylpoint.entry.gateway.caller.CallerRequest
import org.berylpoint.entry.gateway.server.HttpServerClient
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.serving.Route
import org.berylpoint.model.serving.ServingConfig
import org.berylpoint.model.serving.WorkspacePolicy
import org.berylpoint.platform.wire.RequestHeaders
import kotlin.random.Random

/** Why a request ends without a server's answer. */
internal class Refusal(val kind: ErrorKind, val cause: String, val retryAfterMillis: Long? = null)

/** First filters of a request: route, key, limits and cap. */
internal class Admission(private val site: SiteState, private val counts: SharedCounts, private val random: Random) {
    fun admit(caller: CallerRequest, arrivedAtMillis: Long): Either<Refusal, AdmittedRequest> = either {
        val config = knownConfig()
        val route = ensureNotNull(config.route(caller.host, caller.path)) {
            Refusal(ErrorKind.UnknownClass, "no route in version ${config.version}")
        }
        val workspace = workspaceOf(caller, config)
        ensure(workspace != null || route.isPublic || !config.needsKeys) {
            Refusal(ErrorKind.Unauthenticated, "no such key in version ${config.version}")
        }
        val service = ensureNotNull(config.services[route.selectService(random)]) {
            Refusal(ErrorKind.NoBackend, "the service is not configured", NOT_READY_WAIT_MILLIS)
        }
        val id = ensureNotNull(caller.header(RequestHeaders.REQUEST_ID)) {
            Refusal(ErrorKind.MalformedRequest, "no request id")
        }
        ensure(isForwardable(caller)) {
            Refusal(ErrorKind.MalformedRequest, "the target or body can't be forwarded unchanged")
        }
        AdmittedRequest(
            id = id,
            caller = caller,
            route = route,
            service = service,
            workspace = workspace,
            arrivedAtMillis = arrivedAtMillis,
            deadlineMillis = arrivedAtMillis + patienceMillis(caller, route),
            tokens = DeclaredTokens.of(caller),
        )
    }

    private fun Raise<Refusal>.knownConfig(): ServingConfig {
        val view = site.view
        return ensureNotNull(view.config?.takeIf { view.hasServers }) {
            Refusal(ErrorKind.NotReady, "no configuration is known yet", NOT_READY_WAIT_MILLIS)
        }
    }

    private fun isForwardable(caller: CallerRequest): Boolean =
        HttpServerClient.sendsUnchanged(caller.target) && (caller.method !in BODYLESS || caller.body.isEmpty())

    private fun patienceMillis(caller: CallerRequest, route: Route): Long {
        val patience = caller.header(RequestHeaders.DEADLINE_MILLIS)?.trim()?.toDoubleOrNull()?.toLong()
        return minOf(patience ?: route.timeoutMillis, route.timeoutMillis)
    }

    /** Takes the request's cost out of its workspace's cap; null when it is within the cap. */
    fun charge(request: AdmittedRequest): Refusal? {
        val policy = request.workspace ?: return null
        val cost = request.capCost
        val wait = counts.tryCharge(policy, cost) ?: return null
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
