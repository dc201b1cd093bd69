package org.berylpoint.entry.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.prometheus.metrics.expositionformats.ExpositionFormats
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestId
import java.io.ByteArrayOutputStream

private val logger = KotlinLogging.logger {}

/**
 * The HTTP server for operators and monitoring, on a separate listener.
 *
 * - `/healthz`: status 200 while the process runs.
 * - `/readyz`: status 200 if the instance accepts requests, otherwise 503 with the problem from [readinessProblem].
 * - `/metrics`: the metrics in a format that the `Accept` header names.
 * - `/dump`: the state of all components as JSON, or with `?component=` of one.
 *
 * These routes need no token, so the listener must be on an address that callers can't reach. [operator] adds the
 * routes below `/operator`.
 */
public class AdminServer(
    private val metrics: PrometheusRegistry,
    private val dumps: StateDumpService,
    private val operator: OperatorApi,
    private val readinessProblem: () -> Problem?,
) : AutoCloseable {
    private val formats = ExpositionFormats.init()

    private val javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.http.maxRequestSize = OperatorApi.MAX_BODY_BYTES
        config.jetty.modifyHttpConfiguration { it.sendServerVersion = false }
        addRoutes(config)
        operator.addRoutes(config)
    }

    /** The bound port, which the system selects after a start on port 0. */
    public val port: Int get() = javalin.port()

    /** Starts to accept connections on the IP address [host]; port 0 selects a free port. */
    public fun start(host: String, port: Int) {
        javalin.start(host, port)
        logger.info { "http: admin server listens on $host:${javalin.port()}" }
    }

    override fun close() {
        javalin.stop()
    }

    private fun addRoutes(config: JavalinConfig) {
        config.routes.get("/healthz") { it.result("ok\n") }
        config.routes.get("/readyz") { context ->
            val problem = readinessProblem()
            if (problem == null) context.result("ready\n") else context.respondWithProblem(problem, NO_ID)
        }
        config.routes.get("/metrics", ::writeMetrics)
        config.routes.get("/dump") { it.respondWithJson(dumps.local(it.queryParam("component"))) }
        config.routes.error(NOT_FOUND) { context ->
            // A route may itself have responded with status 404 and a problem.
            if (context.res().contentType?.startsWith(PROBLEM_JSON) != true) context.respondNotFound()
        }
        config.routes.exception(Exception::class.java) { e, context ->
            logger.error(e) { "http: ${context.method()} ${context.path()} failed" }
            context.respondWithProblem(Problem(ErrorKind.Internal, "unexpected error; see the instance's log"), NO_ID)
        }
    }

    private fun writeMetrics(context: Context) {
        val writer = formats.findWriter(context.header("Accept"))
        val body = ByteArrayOutputStream()
        writer.write(body, metrics.scrape())
        context.contentType(writer.contentType).result(body.toByteArray())
    }

    private fun Context.respondNotFound() {
        val body = buildJsonObject {
            put("type", "about:blank")
            put("title", "no such resource")
            put("status", NOT_FOUND)
        }
        contentType(PROBLEM_JSON).result(body.toString())
    }

    private companion object {
        const val NOT_FOUND = 404

        /** Admin requests have no request id. */
        val NO_ID = RequestId("")
    }
}
