package org.berylpoint.testkit.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSingleton
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.EntryName
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.InstanceStatus
import org.berylpoint.platform.ListedInstance
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.StartOrder
import org.berylpoint.platform.http.ComputeClient
import org.berylpoint.platform.http.ComputeInstance
import org.berylpoint.platform.http.HttpObjectStore
import org.berylpoint.platform.http.HttpTableService
import org.berylpoint.platform.http.HttpTransport
import org.berylpoint.platform.http.HttpWeightStore
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.ExperimentalTime

@OptIn(ExperimentalTime::class)
class PlatformServerTest :
    FunSpec({
        val zone = FailureDomain("muc-a")
        val key = RowKey("once/lechfeld", "key 1")

        suspend fun withServer(block: suspend (PlatformServer, HttpTransport) -> Unit) =
            PlatformServer("127.0.0.1", 0).start().use { server ->
                HttpTransport(server.address, InstanceId("a")).use { block(server, it) }
            }

        fun control(server: PlatformServer, method: String, path: String, body: String = ""): String {
            val request = Request.Builder().url("${server.address}/control/$path").method(method, body.toRequestBody())
            return OkHttpClient().newCall(request.build()).execute().use { it.body.string() }
        }

        test("rows are put, read, checked and deleted under version conditions") {
            withServer { _, transport ->
                val table = HttpTableService(transport, "berylpoint")
                table.get(key) shouldBe null.right()
                table.transact(listOf(RowWrite.Put(key, "ä \"1\"", 0))) shouldBe Unit.right()
                table.transact(listOf(RowWrite.Put(key, "two", 1))) shouldBe Unit.right()
                table.transact(listOf(RowWrite.Put(key, "three", null))) shouldBe Unit.right()
                table.get(key) shouldBe Row(key, 3, "three").right()
                val other = key.copy(sort = "other")
                table.transact(listOf(RowWrite.Put(other, "x", 0), RowWrite.Check(key, 2))) shouldBe
                    PlatformError.ConditionFailed(listOf(1)).left()
                table.transact(listOf(RowWrite.Delete(key, 3), RowWrite.Check(other, 0))) shouldBe Unit.right()
                table.get(key) shouldBe null.right()
                table.transact(emptyList()).leftOrNull().shouldBeInstanceOf<PlatformError.Invalid>()
            }
        }

        test("a query reads on over page boundaries, up to its limit") {
            withServer { server, transport ->
                val rows = (100 until 100 + QUERY_PAGE_ROWS * 3).map { RowWrite.Put(RowKey("p", "$it"), "v$it", 0) }
                rows.chunked(100).forEach { server.table.transact(it) }
                val table = HttpTableService(transport, "berylpoint")
                val all = rows.map { Row(it.key, 1, it.value) }
                table.query("p", limit = 1000) shouldBe all.right()
                table.query("p", after = "109", limit = QUERY_PAGE_ROWS + 5) shouldBe
                    all.drop(10).take(QUERY_PAGE_ROWS + 5).right()
            }
        }

        test("objects are written under names with slashes and read back") {
            withServer { _, transport ->
                val objects = HttpObjectStore(transport, "snapshots")
                objects.get("catalogue/100") shouldBe null.right()
                objects.put("catalogue/100", "{\"v\": 100}") shouldBe Unit.right()
                objects.get("catalogue/100") shouldBe "{\"v\": 100}".right()
            }
        }

        test("instances are listed with role and status, started once per token and stopped") {
            withServer { server, transport ->
                val client = ComputeClient(transport, "p", listOf(FailureDomain("muc-b"), zone), Clock.System)
                val spare = BackendServer(BackendServerId("spare"), zone, "http://127.0.0.1:9000", true, 120, false)
                server.instances.put(InstanceId("e1"), "127.0.0.1:7400")
                client.read() shouldBe listOf(
                    ListedInstance.Entry(InstanceId("e1"), "127.0.0.1:7400", InstanceStatus.Running),
                ).right()

                val order = StartOrder(EntryName("chat-2"), zone, true, "token-1")
                client.start(order).leftOrNull().shouldBeInstanceOf<PlatformError.Unavailable>()
                val body = ComputeInstance.of(
                    ListedInstance.Backend(EntryName("chat-2"), spare, InstanceStatus.Running),
                    Clock.System.now(),
                )
                control(server, "POST", "spares", Json.encodeToString(body))
                val id = client.start(order).getOrNull()!!
                client.start(order) shouldBe id.right()
                server.cloud.starts.values.shouldBeSingleton()
                client.read().getOrNull()!!.filterIsInstance<ListedInstance.Backend>() shouldBe listOf(
                    ListedInstance.Backend(EntryName("chat-2"), spare.copy(id = id), InstanceStatus.Running),
                )
                client.stop(id) shouldBe Unit.right()
                client.stop(BackendServerId("never-started")) shouldBe Unit.right()
                val left = client.read().getOrNull()!!.filterIsInstance<ListedInstance.Backend>().single().status
                left.shouldBeInstanceOf<InstanceStatus.Leaving>()
            }
        }

        test("the weight store tells how long to wait") {
            withServer { _, transport ->
                val weights = HttpWeightStore(transport)
                weights.acquire("chat/2") shouldBe 0L.right()
                (weights.acquire("chat/2").getOrNull()!! > 0) shouldBe true
            }
        }

        // A failure that took no effect must differ from one that may have: only the former allows a true not-run.
        test("failures are told apart: refused connection, refusal, lost answer, silence") {
            withServer { server, transport ->
                val put = listOf(RowWrite.Put(key, "x", null))
                val table = HttpTableService(transport, "berylpoint")
                control(server, "PUT", "faults/table", """{"caller": "a", "down": true}""")
                table.transact(put).leftOrNull().shouldBeInstanceOf<PlatformError.Unavailable>()
                HttpTransport(server.address, InstanceId("b")).use {
                    HttpTableService(it, "berylpoint").get(key) shouldBe null.right()
                }
                control(server, "DELETE", "faults")
                HttpTransport(server.address, InstanceId("a"), callTimeout = 300.milliseconds).use {
                    val impatient = HttpTableService(it, "berylpoint")
                    control(server, "PUT", "lose-next-answers/table/1")
                    impatient.transact(put).leftOrNull().shouldBeInstanceOf<PlatformError.NoAnswer>()
                    server.table.content.keys shouldBe setOf(key)
                    control(server, "PUT", "faults/table", """{"loseCalls": true}""")
                    impatient.transact(put).leftOrNull().shouldBeInstanceOf<PlatformError.NoAnswer>()
                    server.table.content.getValue(key).version shouldBe 1
                }
            }
            val closed = PlatformServer("127.0.0.1", 0).start().use { it.address }
            HttpTransport(closed, InstanceId("a")).use {
                val refused: Either<PlatformError, Row?> = HttpTableService(it, "berylpoint").get(key)
                refused.leftOrNull().shouldBeInstanceOf<PlatformError.Unavailable>()
            }
        }
    })
