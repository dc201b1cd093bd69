package org.berylpoint.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.javalin.http.HttpResponseException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.future.future
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.serializer
import org.berylpoint.entry.catalogue.CatalogueSync
import org.berylpoint.entry.member.Member
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.settings.Secret
import org.berylpoint.model.AcceptedVersion
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueFault
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.InstanceReport
import org.berylpoint.model.MoveReport
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.StatusReport
import org.berylpoint.model.VersionName
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicLong

/**
 * The routes below `/operator`. All of them require the bearer token [token].
 *
 * - `GET /operator/catalogue`: the current catalogue of this instance.
 * - `POST /operator/catalogue`: commits a `CatalogueUpdate` and returns an `AcceptedVersion`. An invalid update
 *   gets status 422 with a member `faults`, an update with an outdated expected version status 409.
 * - `GET /operator/status`: a `StatusReport`; with `?ask=true`, instances that have not confirmed the
 *   version are queried first.
 * - `GET /operator/moves`: a list of `MoveReport`.
 * - `GET /operator/dump`: the state of this instance's components, with `?instance=` that of another instance and with
 *   `?instance=all` that of all members by id; `?component=` limits it to one component.
 */
public class OperatorApi(
    private val scope: CoroutineScope,
    private val token: Secret,
    private val catalogue: CatalogueSync,
    private val membership: StateFlow<MembershipView>,
    private val dumps: StateDumpService,
    /** Current traffic share of each version of a request class. */
    private val shares: (RequestClass) -> Map<VersionName, Double>,
) {
    private val nextId = AtomicLong()

    /** Adds the routes to a server. */
    public fun addRoutes(config: JavalinConfig) {
        config.routes.get("/operator/catalogue") { serve(it) { catalogueJson() } }
        config.routes.post("/operator/catalogue") { context -> serve(context, context::body) { submit(it) } }
        config.routes.get("/operator/status") { context ->
            serve(context) { status(context.queryParam("ask") == "true") }
        }
        config.routes.get("/operator/moves") { serve(it) { moves().right().map { list -> encode(list) } } }
        config.routes.get("/operator/dump") { context ->
            serve(context) { dump(context.queryParam("instance"), context.queryParam("component")) }
        }
    }

    private fun serve(context: Context, answer: suspend () -> Either<Refusal, JsonElement>) =
        serve(context, {}) { answer() }

    /** [read] runs on the server's thread, so that reading a slow body doesn't block the node's dispatcher. */
    private fun <T> serve(context: Context, read: () -> T, answer: suspend (T) -> Either<Refusal, JsonElement>) {
        val id = RequestId("${membership.value.self.id}-operator-${nextId.incrementAndGet()}")
        if (!isAuthorized(context)) {
            context.header("WWW-Authenticate", "Bearer")
            context.respondWithProblem(Problem(ErrorKind.Unauthenticated, "a valid bearer token is required"), id)
            return
        }
        val input = try {
            read()
        } catch (e: HttpResponseException) {
            val detail = "body: expected at most $MAX_BODY_BYTES bytes (${e.message})"
            context.respondWithProblem(Problem(ErrorKind.TooLarge, detail), id)
            return
        }
        context.future {
            scope.future { answer(input).fold({ refuse(context, it, id) }, { context.respondWithJson(it) }) }
        }
    }

    private fun refuse(context: Context, refusal: Refusal, id: RequestId) {
        val plain = Json.parseToJsonElement(refusal.problem.toJson(id)).jsonObject
        val body = if (refusal.faults.isEmpty()) plain else plain + ("faults" to encode(refusal.faults))
        context.status(refusal.problem.kind.status).contentType(PROBLEM_JSON).result(JsonObject(body).toString())
    }

    /** Compares in constant time, so that response times reveal nothing about the token. */
    private fun isAuthorized(context: Context): Boolean {
        val given = context.header("Authorization").orEmpty().encodeToByteArray()
        return MessageDigest.isEqual(given, "Bearer ${token.reveal()}".encodeToByteArray())
    }

    private fun currentCatalogue(): Either<Refusal, Catalogue> = catalogue.current.value?.right()
        ?: Refusal(Problem(ErrorKind.NotReady, "the catalogue is not loaded yet")).left()

    private fun catalogueJson(): Either<Refusal, JsonElement> = currentCatalogue().map { encode(it) }

    private suspend fun submit(body: String): Either<Refusal, JsonElement> {
        val update = try {
            json.decodeFromString<CatalogueUpdate>(body)
        } catch (e: IllegalArgumentException) {
            val detail = e.message.orEmpty().lineSequence().first()
            return Refusal(Problem(ErrorKind.MalformedRequest, "body: not a valid catalogue update: $detail")).left()
        }
        return catalogue.submit(update).fold(
            { problem ->
                val isInvalid = problem.kind == ErrorKind.InvalidCatalogue
                Refusal(problem, if (isInvalid) catalogue.findFaults(update) else emptyList()).left()
            },
            { encode(AcceptedVersion(it)).right() },
        )
    }

    private suspend fun status(queriesPeers: Boolean): Either<Refusal, JsonElement> = currentCatalogue().map {
        val confirmed = if (queriesPeers) catalogue.refreshConfirmations() else catalogue.confirmations()
        val view = membership.value
        // A newer version may have been applied while instances were queried.
        val newest = catalogue.current.value ?: it
        val instances = view.members.values.sortedBy { member -> member.instance.id.value }.map { member ->
            val version = confirmed[member.instance.id] ?: 0
            val isAlive = member.state == Member.State.ALIVE
            InstanceReport(member.instance, isAlive, version, version >= newest.version)
        }
        encode(StatusReport(newest.version, view.self.id, instances, newest.domainsOut, moves()))
    }

    private fun moves(): List<MoveReport> = catalogue.current.value?.moves.orEmpty()
        .map { (requestClass, move) -> MoveReport(requestClass, move, shares(requestClass)) }

    private suspend fun dump(instance: String?, component: String?): Either<Refusal, JsonElement> {
        if (instance == null) return dumps.local(component).right()
        val members = membership.value.members.values.map { it.instance }
        if (instance == "all") {
            val states = coroutineScope {
                members.map { async { it.id.value to dumps.fetch(it, component) } }.awaitAll()
            }
            return buildJsonObject {
                states.forEach { (id, state) ->
                    put(id, state.fold({ JsonObject(mapOf("error" to JsonPrimitive(it.detail))) }, { it }))
                }
            }.right()
        }
        val target = members.firstOrNull { it.id.value == instance }
            ?: return Refusal(Problem(ErrorKind.MalformedRequest, "instance: no member has the id $instance")).left()
        return dumps.fetch(target, component).mapLeft { Refusal(it) }
    }

    private class Refusal(val problem: Problem, val faults: List<CatalogueFault> = emptyList())

    internal companion object {
        /** Slightly above the largest update that fits into a table row. */
        const val MAX_BODY_BYTES = 500_000L
        val json = Json { encodeDefaults = true }

        inline fun <reified T> encode(value: T): JsonElement = json.encodeToJsonElement(serializer<T>(), value)
    }
}
