package org.berylpoint.testkit.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueChange.MoveTraffic
import org.berylpoint.model.CatalogueChange.PutEntry
import org.berylpoint.model.CatalogueChange.TakeOut
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.model.MoveReport
import org.berylpoint.model.RequestClass
import org.berylpoint.model.StatusReport
import org.berylpoint.model.VersionName
import org.berylpoint.testkit.catalogue.CatalogueTestCluster.Companion.entry
import org.berylpoint.testkit.standin.Fault

private class HttpReply(val status: Int, val type: String, val body: String) {
    val json: JsonObject get() = Json.parseToJsonElement(body).jsonObject

    fun text(member: String): String = json.getValue(member).jsonPrimitive.content
}

/** Guards against operator routes without a token check, hidden refusals and reports about the wrong instances. */
class OperatorApiTest :
    FunSpec({
        val http = OkHttpClient()

        fun AdminNode.call(path: String, body: String? = null, token: String? = AdminNode.TOKEN): HttpReply {
            val request = Request.Builder().url(address + path)
            if (token != null) request.header("Authorization", "Bearer $token")
            if (body != null) request.post(body.toRequestBody())
            return http.newCall(request.build()).execute().use {
                HttpReply(it.code, it.header("Content-Type").orEmpty(), it.body.string())
            }
        }

        fun AdminNode.update(version: Long, vararg changes: CatalogueChange): HttpReply =
            call("/operator/catalogue", Json.encodeToString(CatalogueUpdate(version, changes.toList(), "test")))

        fun node(test: (AdminNode) -> Unit) = AdminNode().use {
            it.startCatalogue()
            test(it)
        }

        test("every route below /operator refuses requests without the token") {
            node { node ->
                listOf("/operator/catalogue", "/operator/status", "/operator/moves", "/operator/dump").forEach { path ->
                    listOf(null, "", "wrong", AdminNode.TOKEN + "0", AdminNode.TOKEN.dropLast(1)).forEach { token ->
                        val reply = node.call(path, token = token)
                        reply.status shouldBe 401
                        reply.type shouldBe "application/problem+json"
                        reply.text("kind") shouldBe "Unauthenticated"
                    }
                }
                node.call("/operator/catalogue", "{}", token = null).status shouldBe 401
            }
        }

        test("an accepted update is in the catalogue that is read next") {
            node { node ->
                node.update(0, PutEntry(entry("v1"))).text("version") shouldBe "1"
                val catalogue = Json.decodeFromString<Catalogue>(node.call("/operator/catalogue").body)
                catalogue.version shouldBe 1
                catalogue.entries.keys.map { it.value } shouldBe listOf("v1")
            }
        }

        test("an update with another expected version is a conflict") {
            node { node ->
                node.update(0, PutEntry(entry("v1")))
                val reply = node.update(0, PutEntry(entry("v2")))
                reply.status shouldBe 409
                reply.text("kind") shouldBe "VersionConflict"
                reply.text("ran") shouldBe "not-run"
            }
        }

        test("an invalid update is refused with all its faults") {
            node { node ->
                val reply = node.update(
                    0,
                    TakeOut(FailureDomain("x")),
                    MoveTraffic(RequestClass("y"), VersionName("z"), 1),
                )
                reply.status shouldBe 422
                reply.json.getValue("faults").jsonArray.map { it.jsonObject.getValue("subject").jsonPrimitive.content }
                    .distinct() shouldBe listOf("domain x", "move of y")
                reply.text("detail") shouldContain "expected a time after now"
            }
        }

        test("a malformed body gets status 400 and an oversized body status 413") {
            node { node ->
                node.call("/operator/catalogue", "{").let {
                    it.status shouldBe 400
                    it.text("kind") shouldBe "MalformedRequest"
                }
                node.call("/operator/catalogue", " ".repeat(600_000)).let {
                    it.status shouldBe 413
                    it.text("kind") shouldBe "TooLarge"
                }
            }
        }

        test("an update during an outage of the table service is refused as not run") {
            node { node ->
                node.table.faults.all = Fault.DOWN
                val reply = node.update(0, PutEntry(entry("v1")))
                reply.status shouldBe 503
                reply.text("ran") shouldBe "not-run"
            }
        }

        test("the status lists the instances that have not confirmed the version") {
            node { node ->
                node.update(0, PutEntry(entry("v1")))
                listOf("", "?ask=true").forEach { query ->
                    val status = Json.decodeFromString<StatusReport>(node.call("/operator/status$query").body)
                    status.version shouldBe 1
                    status.unconfirmed shouldBe listOf(InstanceId("rgb-a-1"))
                    status.instances.map { it.isAlive } shouldBe listOf(true, false)
                }
            }
        }

        test("a running move is listed with the shares of its versions") {
            node { node ->
                node.update(0, PutEntry(entry("v1")), PutEntry(entry("v2")))
                node.update(1, MoveTraffic(RequestClass("chat"), VersionName("v2"), Long.MAX_VALUE)).status shouldBe 200
                val moves = Json.decodeFromString<List<MoveReport>>(node.call("/operator/moves").body)
                moves.single().shares shouldBe mapOf(VersionName("v1") to 0.95, VersionName("v2") to 0.05)
            }
        }

        test("dumps cover one component, one instance or all, and report instances that can't be reached") {
            node { node ->
                node.call("/operator/dump").json.getValue("catalogue").jsonObject.getValue("version")
                    .jsonPrimitive.int shouldBe 0
                node.call("/operator/dump?component=none").json shouldBe JsonObject(emptyMap())
                node.call("/operator/dump?instance=muc-a-1").json.keys shouldBe setOf("catalogue")
                node.call("/operator/dump?instance=rgb-a-1").status shouldBe 503
                node.call("/operator/dump?instance=none").status shouldBe 400
                val all = node.call("/operator/dump?instance=all").json
                all.getValue("muc-a-1").jsonObject.keys shouldBe setOf("catalogue")
                all.getValue("rgb-a-1").jsonObject.keys shouldBe setOf("error")
            }
        }

        test("the admin server serves health, readiness, metrics and state without a token") {
            AdminNode().use { node ->
                node.call("/healthz", token = null).status shouldBe 200
                node.call("/readyz", token = null).let {
                    it.status shouldBe 503
                    it.text("kind") shouldBe "NotReady"
                }
                node.startCatalogue()
                node.call("/readyz", token = null).status shouldBe 200
                node.call("/metrics", token = null).let {
                    it.type shouldStartWith "text/plain"
                    it.body shouldContain "berylpoint_test_total 1.0"
                }
                node.call("/dump", token = null).json.keys shouldBe setOf("catalogue")
                node.call("/nothing", token = null).let {
                    it.status shouldBe 404
                    it.type shouldBe "application/problem+json"
                }
            }
        }
    })
