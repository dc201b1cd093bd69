package org.berylpoint.entry.gateway.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.berylpoint.entry.gateway.Clocks
import org.berylpoint.entry.gateway.DecisionLog
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.serving.ServiceName
import org.berylpoint.platform.store.StoreRow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class SiteStateTest :
    FunSpec({
        test("a stale read does not replace a newer configuration") {
            val (state, _) = createState()
            state.updateOperatorRows(listOf(config(7, revision = 20)))
            state.replaceOperatorRows(listOf(config(5, revision = 10)))
            state.view.config?.version shouldBe 7
        }

        test("a malformed configuration leaves the last one in force") {
            val (state, _) = createState()
            state.updateOperatorRows(listOf(config(7, revision = 20)))
            state.updateOperatorRows(listOf(StoreRow("op", "config", "{".encodeToByteArray(), 30)))
            state.view.config?.version shouldBe 7
        }

        test("entries that lapse while the store is unavailable stay until its recovery period has passed") {
            val (state, time) = createState()
            state.replaceServerRows(listOf(server("a", 5)))
            state.recordStoreFailure()
            time += 300.milliseconds
            state.replaceServerRows(emptyList())
            state.view.servers.size shouldBe 1
            time += 2_500.milliseconds
            state.removeMissingServers()
            state.view.servers.size shouldBe 0
        }

        // Guards against requests to a departed server (DRAIN): one failed call made an instance keep it in use for the
        // whole recovery period, and an instance that the store turned away kept it in use for as long as that lasted.
        test("a server that leaves right after a failed store call gets no new requests") {
            val (state, time) = createState()
            state.replaceServerRows(listOf(server("a", 1), server("b", 2), server("c", 3)))
            state.recordStoreFailure()
            time += 300.milliseconds
            state.updateServerRows(listOf(StoreRow("servers", "b", ByteArray(0), 8, isDeleted = true)))
            usableServers(state) shouldBe listOf("a", "c")
        }

        // Guards against refusals after an outage of the store in which the entries of live servers lapse.
        test("servers stay in use while the entries of most of them have lapsed in an outage") {
            val (state, time) = createState()
            state.replaceServerRows(listOf(server("a", 1), server("b", 2), server("c", 3)))
            state.recordStoreFailure()
            state.replaceServerRows(listOf(server("c", 3)))
            usableServers(state) shouldBe listOf("a", "b", "c")
            state.updateServerRows(listOf(server("a", 9)))
            usableServers(state) shouldBe listOf("a", "c")
            time += 2_500.milliseconds
            state.removeMissingServers()
            state.view.servers.keys.map { it.value }.sorted() shouldBe listOf("a", "c")
        }

        test("an entry that is written again within the store's recovery period is kept") {
            val (state, time) = createState()
            state.replaceServerRows(listOf(server("a", 5)))
            state.recordStoreFailure()
            state.replaceServerRows(emptyList())
            state.updateServerRows(listOf(server("a", 9)))
            time += 3_000.milliseconds
            state.removeMissingServers()
            state.view.servers.size shouldBe 1
        }

        test("malformed entries are ignored, and the well-formed ones are used") {
            val (state, _) = createState()
            val malformed = listOf(
                "not json",
                "{}",
                """{"service":1,"address":"10.0.0.1:80"}""",
                SERVER.replace("10.0.0.1:80", "host:80"),
                SERVER.replace("ready", "odd"),
                SERVER.replace("2", "\"2\""),
            )
            val rows =
                malformed.mapIndexed { index, text -> StoreRow("servers", "f$index", text.encodeToByteArray(), 9) }
            state.replaceServerRows(rows + server("a", 5))
            state.view.servers.keys.map { it.value } shouldBe listOf("a")
        }

        test("a domain out of service returns when a full read no longer has its row") {
            val (state, _) = createState()
            state.updateOperatorRows(listOf(StoreRow("op", "evacuate/z", "{}".encodeToByteArray(), 5)))
            state.view.outOfServiceDomains shouldBe setOf(FailureDomain("z"))
            state.replaceOperatorRows(emptyList())
            state.view.outOfServiceDomains shouldBe emptySet()
        }

        // Guards against a departed server that an old row, read or forwarded late, puts into use again.
        test("an older row does not bring a server back that has left") {
            val (state, _) = createState()
            state.updateServerRows(listOf(server("a", 5)))
            state.updateServerRows(listOf(StoreRow("servers", "a", ByteArray(0), 8, isDeleted = true)))
            state.updateServerRows(listOf(server("a", 7)))
            state.view.servers.size shouldBe 0
            state.updateServerRows(listOf(server("a", 9)))
            state.view.servers.size shouldBe 1
        }

        test("an older row does not take a domain out of service again, nor an older deletion bring it back") {
            val (state, _) = createState()
            state.updateOperatorRows(listOf(takenOut(revision = 5), takenOut(revision = 8, isDeleted = true)))
            state.updateOperatorRows(listOf(takenOut(revision = 5)))
            state.view.outOfServiceDomains shouldBe emptySet()
            state.updateOperatorRows(listOf(takenOut(revision = 9), takenOut(revision = 8, isDeleted = true)))
            state.view.outOfServiceDomains shouldBe setOf(FailureDomain("z"))
        }

        // Guards against a withdrawn key that is accepted again after a restart.
        test("a new process does not take an older configuration from a peer after it has read a newer one") {
            val (state, _) = createState()
            state.replaceOperatorRows(listOf(config(7, revision = 20)))
            state.updateOperatorRows(listOf(config(5, revision = 10), config(6, revision = 30)))
            state.view.config?.version shouldBe 7
        }
    })

private fun takenOut(revision: Long, isDeleted: Boolean = false) =
    StoreRow("op", "evacuate/z", "{}".encodeToByteArray(), revision, isDeleted)

private fun createState(): Pair<SiteState, TestTimeSource> {
    val time = TestTimeSource()
    return SiteState(Clocks(time) { 0 }, DecisionLog()) to time
}

private fun config(version: Int, revision: Long): StoreRow {
    val routes = """[{"name":"r","host":"h","prefix":"/","kind":"safe","service":"s"}]"""
    val text = """{"version":$version,"routes":$routes,"services":[{"name":"s"}]}"""
    return StoreRow("op", "config", text.encodeToByteArray(), revision)
}

private fun usableServers(state: SiteState) =
    state.view.usableServers(ServiceName("s")).map { it.entry.id.value }.sorted()

private fun server(id: String, revision: Long) = StoreRow("servers", id, SERVER.encodeToByteArray(), revision)

private const val SERVER = """{"service":"s","address":"10.0.0.1:80","zone":"a","version":"v","slots":2,
    "state":"ready","cold_remaining_ms":0}"""
