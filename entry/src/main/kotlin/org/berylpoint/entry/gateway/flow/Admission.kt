package org.berylpoint.entry.gateway.flow

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import org.berylpoint.entry.gateway.caller.CallerRequest
import org.berylpoint.entry.gateway.server.RequestTarget
import org.berylpoint.entry.gateway.site.SiteState
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.serving.Route
import org.berylpoint.model.serving.ServingConfig
import org.berylpoint.model.serving.WorkspacePolicy
import org.berylpoint.platform.wire.RequestHeaders
import kotlin.random.Random

/**
 * An error response of the gateway in place of a server's response. [cause] is only logged; [retryAfterMillis] goes to
 * the caller.
 */
internal class Refusal(val kind: ErrorKind, val cause: String, val retryAfterMillis: Long? = null) {
    companion object {
        /** Refuses a request that another instance may serve by a newer view of the site. */
        fun viewOutOfDate(): Refusal =
            Refusal(ErrorKind.NotReady, "the view of the site is out of date", OLD_VIEW_RETRY_AFTER_MILLIS)

        private const val OLD_VIEW_RETRY_AFTER_MILLIS = 200L
    }
}

/**
 * Checks a request before it is sent to a server: it needs a route, an API key, an id, a form that can be forwarded
 * unchanged, and room in its workspace's cap.
 */
internal class Admission(
    private val site: SiteState,
    private val counts: SharedCounts,
    private val random: Random,
    /** Whether the view of the site may lack a change that has to be in force. */
    private val isViewOld: () -> Boolean,
) {
    /** Checks everything but the cap, which [charge] does. [arrivedAtMillis] is on the steady clock. */
    fun admit(caller: CallerRequest, arrivedAtMillis: Long): Either<Refusal, AdmittedRequest> = either {
        val config = requireConfig()
        val route = ensureNotNull(config.findRoute(caller.host, caller.path)) {
            unlessOld(ErrorKind.UnknownClass, "no route matches in configuration version ${config.version}")
        }
        val workspace = workspaceOf(caller, config)
        ensure(workspace != null || route.isPublic || !config.requiresApiKeys) {
            unlessOld(ErrorKind.Unauthenticated, "no valid API key for configuration version ${config.version}")
        }
        val service = ensureNotNull(config.services[route.selectService(random)]) {
            Refusal(ErrorKind.NoBackend, "the route's service is not configured", NOT_READY_RETRY_AFTER_MILLIS)
        }
        val id = ensureNotNull(caller.header(RequestHeaders.REQUEST_ID)) {
            Refusal(ErrorKind.MalformedRequest, "the header ${RequestHeaders.REQUEST_ID} is missing")
        }
        ensure(isForwardable(caller)) {
            Refusal(ErrorKind.MalformedRequest, "the target or the body can't be forwarded unchanged")
        }
        val sharedParts = PromptPart.sharedIn(caller)
        AdmittedRequest(
            id = id,
            caller = caller,
            route = route,
            service = service,
            workspace = workspace,
            arrivedAtMillis = arrivedAtMillis,
            deadlineMillis = arrivedAtMillis + timeoutMillis(caller, route),
            tokens = DeclaredTokens.of(caller, sharedParts),
            sharedParts = sharedParts,
        )
    }

    /** Rank of a request that is not checked yet; the last one where the configuration does not know it. */
    fun rankOf(caller: CallerRequest): Int {
        val config = site.view.config
        val route = config?.findRoute(caller.host, caller.path) ?: return AdmittedRequest.LOWEST_PRIORITY
        return AdmittedRequest.rank(route, workspaceOf(caller, config))
    }

    /** A final refusal; one that asks the caller to come back if a newer configuration may allow the request. */
    private fun unlessOld(kind: ErrorKind, cause: String): Refusal =
        if (isViewOld()) Refusal.viewOutOfDate() else Refusal(kind, cause)

    private fun Raise<Refusal>.requireConfig(): ServingConfig {
        val view = site.view
        return ensureNotNull(view.config?.takeIf { view.canServe }) {
            Refusal(
                ErrorKind.NotReady,
                "the configuration or the server list is not loaded yet, or is older than that of other instances",
                NOT_READY_RETRY_AFTER_MILLIS,
            )
        }
    }

    private fun isForwardable(caller: CallerRequest): Boolean = RequestTarget.isSendable(caller.target) &&
        (caller.method !in METHODS_WITHOUT_BODY || caller.body.isEmpty())

    private fun timeoutMillis(caller: CallerRequest, route: Route): Long {
        val requested = caller.header(RequestHeaders.DEADLINE_MILLIS)?.trim()?.toDoubleOrNull()?.toLong()
        return minOf(requested ?: route.timeoutMillis, route.timeoutMillis)
    }

    /** Charges the request's cost to its workspace's cap; null if the cap has room. */
    fun charge(request: AdmittedRequest): Refusal? {
        val policy = request.workspace ?: return null
        val cost = request.capCost
        val wait = counts.tryCharge(policy, cost) ?: return null
        return Refusal(
            ErrorKind.CapExceeded,
            "a cost of $cost is more than is left of the cap of ${policy.workspace}: " +
                "${policy.ratePerSecond} per second, burst ${policy.burst}",
            wait,
        )
    }

    private fun workspaceOf(caller: CallerRequest, config: ServingConfig): WorkspacePolicy? {
        val header = caller.header(RequestHeaders.AUTHORIZATION) ?: return null
        if (!header.startsWith(BEARER_PREFIX, ignoreCase = true)) return null
        return config.policyForApiKey(header.substring(BEARER_PREFIX.length).trim())
    }

    private companion object {
        const val BEARER_PREFIX = "Bearer "
        const val NOT_READY_RETRY_AFTER_MILLIS = 500L
        val METHODS_WITHOUT_BODY = setOf("GET", "HEAD")
    }
}
