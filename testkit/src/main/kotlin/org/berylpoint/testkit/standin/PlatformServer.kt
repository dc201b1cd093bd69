package org.berylpoint.testkit.standin

import arrow.core.Either
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.future.future
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.EntryName
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.ListedInstance
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.StartOrder
import org.berylpoint.platform.http.ComputeInstance
import org.berylpoint.platform.http.ComputeInstancePage
import org.berylpoint.platform.http.ComputeOperation
import org.berylpoint.platform.http.HttpTableService
import org.berylpoint.platform.http.HttpTransport
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.ExperimentalTime
import kotlin.time.TimeSource

/**
 * The platform's stand-in as a server: the in-memory services over their published protocols.
 *
 * Callers are told apart by the instance id in their `User-Agent`. A service that is down answers that it refuses the
 * call for load. The paths under `/control` are for tests:
 *
 * - `PUT /control/faults/<service>` with a [FaultOrder]; services are `table`, `objects`, `instances`, `cloud`,
 *   `weights`. `DELETE /control/faults` ends all faults.
 * - `PUT /control/lose-next-answers/<service>/<count>`
 * - `PUT /control/instances` with a [ComputeInstance] lists an instance or changes it;
 *   `DELETE /control/instances/<name>` takes it off the list; `PUT /control/lag-millis/<n>` makes the list lag.
 * - `POST /control/spares` with a [ComputeInstance] adds a backend server for `instances.insert` to start in its zone;
 *   without a spare it answers that there is no capacity. The process of a spare runs already.
 * - `GET /control/rows` and `GET /control/calls` tell the content of the table and the number of calls.
 */
@OptIn(ExperimentalTime::class)
public class PlatformServer(private val ip: String, private val port: Int) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val spares = CopyOnWriteArrayList<ComputeInstance>()
    private val entryZones = ConcurrentHashMap<InstanceId, String>()

    public val table: MemoryTable = MemoryTable(faults = newFaults())
    public val objects: MemoryObjects = MemoryObjects(faults = newFaults())
    public val instances: MemoryInstances = MemoryInstances(TimeSource.Monotonic, faults = newFaults())
    public val cloud: MemoryCloud = MemoryCloud(instances, faults = newFaults(), launch = ::takeSpare)
    public val weights: MemoryWeights = MemoryWeights(TimeSource.Monotonic, faults = newFaults())

    private val faults = mapOf(
        "table" to table.faults,
        "objects" to objects.faults,
        "instances" to instances.faults,
        "cloud" to cloud.faults,
        "weights" to weights.faults,
    )
    private val server = Javalin.create(::configure)

    /** Base address, as in `http://127.0.0.1:7800`; known after [start]. */
    public val address: String get() = "http://$ip:${server.port()}"

    /** Begins to listen; port 0 takes any free one. */
    public fun start(): PlatformServer = apply { server.start(ip, port) }

    override fun close() {
        // First, so that calls which a fault keeps waiting end while the server can still answer them.
        scope.cancel()
        server.stop()
    }

    // Longer than any client waits, so that a silent service ends at the client's timeout.
    private fun newFaults() = Faults(scope, callTimeout = 60.seconds)

    private fun configure(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        // The protocol's limit of a transaction is 4 MB; JSON escapes may double it.
        config.http.maxRequestSize = 8_000_000
        config.routes.exception(CancellationException::class.java) { _, _ -> }
        config.routes.post("/") { ctx ->
            val operation = ctx.header("X-Amz-Target").orEmpty().removePrefix(HttpTableService.TARGET_PREFIX)
            ctx.reply { viewOf(table, table::caller).serveDynamo(operation, ctx.body()) }
        }
        config.routes.post("/weights/{name}") { ctx ->
            ctx.reply {
                viewOf(weights, weights::caller).acquire(ctx.pathParam("name")).toReply { wait ->
                    buildJsonObject { put("waitMillis", wait) }.toString()
                }
            }
        }
        addCompute(config.routes)
        addControl(config.routes)
        // Last, because the first route that matches is taken and an object's path matches any.
        addObjects(config.routes)
    }

    private fun addObjects(routes: RoutesConfig) {
        routes.get("/{bucket}/<key>") { ctx ->
            ctx.reply {
                when (val found = viewOf(objects, objects::caller).get(ctx.pathParam("key"))) {
                    is Either.Left -> found.value.toReply()
                    is Either.Right -> found.value?.let { JsonReply(200, it) }
                        ?: JsonReply(404, "<Error><Code>NoSuchKey</Code></Error>")
                }
            }
        }
        routes.put("/{bucket}/<key>") { ctx ->
            ctx.reply { viewOf(objects, objects::caller).put(ctx.pathParam("key"), ctx.body()).toReply { "" } }
        }
    }

    private fun addCompute(routes: RoutesConfig) {
        val path = "/compute/v1/projects/{project}/zones/{zone}/instances"
        routes.get(path) { ctx ->
            ctx.reply {
                viewOf(instances, instances::caller).read().toReply { listed ->
                    val now = Clock.System.now()
                    val items = listed.filter { it.isIn(ctx.pathParam("zone")) }.map { ComputeInstance.of(it, now) }
                    json.encodeToString(ComputeInstancePage.serializer(), ComputeInstancePage(items = items))
                }
            }
        }
        routes.post(path) { ctx ->
            ctx.reply {
                val order = json.decodeFromString(ComputeInstance.serializer(), ctx.body()).toOrder(ctx)
                when (val started = viewOf(cloud, cloud::caller).start(order)) {
                    is Either.Right -> operation("${ctx.path()}/${started.value}")
                    is Either.Left -> started.value.toReply().let {
                        if (it.status == 429) it.copy(status = 503, body = "ZONE_RESOURCE_POOL_EXHAUSTED") else it
                    }
                }
            }
        }
        routes.delete("$path/{name}") { ctx ->
            ctx.reply {
                val name = ctx.pathParam("name")
                if (instances.content.none { it.name == name && it.isIn(ctx.pathParam("zone")) }) {
                    JsonReply(404, "")
                } else {
                    viewOf(cloud, cloud::caller).stop(BackendServerId(name))
                        .fold({ it.toReply() }, { operation(ctx.path()) })
                }
            }
        }
    }

    private fun addControl(routes: RoutesConfig) {
        routes.put("/control/faults/{service}") { ctx ->
            val order = json.decodeFromString(FaultOrder.serializer(), ctx.body())
            val service = faults.getValue(ctx.pathParam("service"))
            if (order.caller == null) service.all = order.fault else service[InstanceId(order.caller)] = order.fault
        }
        routes.delete("/control/faults") { faults.values.forEach { it.clear() } }
        routes.put("/control/lose-next-answers/{service}/{count}") { ctx ->
            faults.getValue(ctx.pathParam("service")).loseNextAnswers(ctx.pathParam("count").toInt())
        }
        routes.put("/control/instances") { ctx ->
            val instance = json.decodeFromString(ComputeInstance.serializer(), ctx.body())
            when (val listed = instance.toListed(Clock.System.now())) {
                is ListedInstance.Entry -> {
                    entryZones[listed.id] = instance.zone
                    instances.put(listed.id, listed.peerAddress, listed.status)
                }
                is ListedInstance.Backend -> instances.put(listed.entry, listed.server, listed.status)
                null -> ctx.status(400).result("role, address and entry are needed")
            }
        }
        routes.delete("/control/instances/{name}") { ctx -> instances.remove(ctx.pathParam("name")) }
        routes.put("/control/lag-millis/{n}") { ctx -> instances.lag = ctx.pathParam("n").toLong().milliseconds }
        routes.post("/control/spares") { ctx ->
            spares += json.decodeFromString(ComputeInstance.serializer(), ctx.body())
        }
        routes.get("/control/rows") { ctx ->
            ctx.result(json.encodeToString(table.content.values.toList()))
        }
        routes.get("/control/calls") { ctx ->
            ctx.result(json.encodeToString(faults.mapValues { (_, service) -> service.count() }))
        }
    }

    private fun takeSpare(id: BackendServerId, order: StartOrder): BackendServer? {
        val spare = spares.find { it.zone == order.domain.name } ?: return null
        if (!spares.remove(spare)) return null
        val listed = spare.toListed(Clock.System.now()) as? ListedInstance.Backend ?: return null
        return listed.server.copy(id = id, reclaimable = order.reclaimable)
    }

    private fun ListedInstance.isIn(zone: String): Boolean = when (this) {
        is ListedInstance.Entry -> (entryZones[id] ?: zone) == zone
        is ListedInstance.Backend -> server.failureDomain.name == zone
    }

    private fun Context.reply(block: suspend Context.() -> JsonReply) {
        future {
            scope.future {
                val reply = block()
                status(reply.status).contentType("application/json").result(reply.body)
            }
        }
    }

    private companion object {
        val json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
            explicitNulls = false
        }
    }
}

/** A fault to switch on, for one caller or for all; an order with no fault ends it. */
@Serializable
public data class FaultOrder(
    val caller: String? = null,
    val down: Boolean = false,
    val delayMillis: Long = 0,
    val loseAnswers: Boolean = false,
    val loseCalls: Boolean = false,
) {
    internal val fault: Fault get() = Fault(down, delayMillis.milliseconds, loseAnswers, loseCalls)
}

private fun <T> Context.viewOf(all: T, caller: (InstanceId) -> T): T {
    val agent = userAgent().orEmpty()
    if (!agent.startsWith(HttpTransport.USER_AGENT_PREFIX)) return all
    return caller(InstanceId(agent.removePrefix(HttpTransport.USER_AGENT_PREFIX)))
}

private fun ComputeInstance.toOrder(ctx: Context) = StartOrder(
    entry = EntryName(metadata.items.first { it.key == ComputeInstance.Keys.CATALOGUE_ENTRY }.value),
    domain = FailureDomain(ctx.pathParam("zone")),
    reclaimable = scheduling.provisioningModel == ComputeInstance.SPOT,
    token = ctx.queryParam("requestId") ?: name,
)

private fun operation(target: String) =
    JsonReply(200, Json.encodeToString(ComputeOperation.serializer(), ComputeOperation(targetLink = target)))

private fun <T> Either<PlatformError, T>.toReply(body: (T) -> String): JsonReply =
    fold({ it.toReply() }, { JsonReply(200, body(it)) })

private fun PlatformError.toReply(): JsonReply = when (this) {
    is PlatformError.Unavailable -> JsonReply(429, detail)
    is PlatformError.NoAnswer -> JsonReply(504, detail)
    is PlatformError.ConditionFailed -> JsonReply(412, "condition failed")
    is PlatformError.Invalid -> JsonReply(400, detail)
}
