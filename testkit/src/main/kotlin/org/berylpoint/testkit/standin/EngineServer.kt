package org.berylpoint.testkit.standin

import io.javalin.config.JavalinConfig
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import org.berylpoint.model.BackendServer
import org.berylpoint.model.RequestId
import org.berylpoint.model.VersionName
import kotlin.random.Random

/**
 * A [FakeModelEngine] over HTTP with server-sent events.
 *
 * Beside the chat completions it answers `GET /load`, `POST /kv/export`, `POST /kv/import` and, with an `order` and a
 * `fencing` number, `POST /orders`, which is 409 for a refused number.
 */
public class EngineServer(
    server: BackendServer,
    version: VersionName,
    host: String = "127.0.0.1",
    port: Int = 0,
    controlPort: Int = 0,
    speed: EngineSpeed = EngineSpeed(),
    startsWarm: Boolean = true,
) : BackendHttpServer<FakeModelEngine>(host, port, controlPort) {
    override val core: FakeModelEngine =
        FakeModelEngine(server, version, journal, scope, Random.Default, speed, startsWarm = startsWarm)

    override fun configure(config: JavalinConfig) {
        config.routes.get("/load") { ctx ->
            ctx.answer { engine ->
                val load = engine.health().let { engine.load() }
                200 to buildJsonObject {
                    put("running", load.running)
                    put("waiting", load.waiting)
                    put("cachedPrompts", load.cachedPrompts)
                }.toString()
            }
        }
        config.routes.post("/kv/export") { ctx ->
            val request = RequestId(field(ctx.body(), "request"))
            ctx.answer { engine ->
                val handle = engine.exportKv(request)
                if (handle == null) 404 to "{}" else 200 to buildJsonObject { put("handle", handle) }.toString()
            }
        }
        config.routes.post("/kv/import") { ctx ->
            val handle = field(ctx.body(), "handle")
            ctx.answer { engine -> (if (engine.importKv(handle)) 200 else 409) to "{}" }
        }
        config.routes.post("/orders") { ctx ->
            val order = field(ctx.body(), "order")
            val fencing = Json.parseToJsonElement(ctx.body()).jsonObject.getValue("fencing").jsonPrimitive.long
            ctx.answer { engine -> (if (engine.order(fencing, order)) 200 else 409) to "{}" }
        }
    }

    private fun field(body: String, name: String): String =
        Json.parseToJsonElement(body).jsonObject.getValue(name).jsonPrimitive.content
}
