package org.berylpoint.model

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import org.berylpoint.model.CatalogueChange.BringBack
import org.berylpoint.model.CatalogueChange.EndMove
import org.berylpoint.model.CatalogueChange.MoveTraffic
import org.berylpoint.model.CatalogueChange.PutEntry
import org.berylpoint.model.CatalogueChange.RetireEntry
import org.berylpoint.model.CatalogueChange.TakeOut

private val chat = RequestClass("chat")
private val chatV1 = entry("chat-v1", "v1", server("a1", "muc-a", 9001), server("b1", "muc-b", 9002))
private val chatV2 = entry("chat-v2", "v2", server("a2", "muc-a", 9003))
private val base = Catalogue(version = 7, entries = listOf(chatV1, chatV2).associateBy { it.name })
private val duringMove = base.updatedBy(MoveTraffic(chat, VersionName("v2"), 5_000))
private val afterMove = duringMove.updatedBy(EndMove(chat, VersionMove.State.DONE))

private fun server(id: String, domain: String, port: Int) =
    BackendServer(BackendServerId(id), FailureDomain(domain), "http://10.0.0.1:$port")

private fun entry(name: String, version: String, vararg servers: BackendServer) = CatalogueEntry(
    EntryName(name),
    Workspace("elimu"),
    chat,
    ServiceKind.MODEL,
    VersionName(version),
    ClassLimits(maxInFlight = 8),
    servers.toList(),
)

private fun Catalogue.updatedBy(vararg changes: CatalogueChange): Catalogue =
    apply(CatalogueUpdate(version, changes.toList())).fold({ error(it.joinToString()) }, { it })

private fun Catalogue.faultsOf(vararg changes: CatalogueChange): List<String> =
    apply(CatalogueUpdate(version, changes.toList())).fold({ it.map(CatalogueFault::toString) }, { emptyList() })

private fun CatalogueEntry.withLimits(change: ClassLimits.() -> ClassLimits) = copy(limits = limits.change())

/** Guards the rules for catalogue updates; each table row is an update that one rule must reject. */
class CatalogueUpdateTest :
    FunSpec({
        val limitCases = listOf<Pair<ClassLimits.() -> ClassLimits, String>>(
            { a: ClassLimits -> a.copy(maxInFlight = 0) } to "limits.maxInFlight is '0'",
            { a: ClassLimits -> a.copy(maxInFlight = 10_001) } to "limits.maxInFlight is '10001'",
            { a: ClassLimits -> a.copy(rampStart = 9) } to
                "limits.rampStart is '9', expected a whole number from 1 to 8",
            { a: ClassLimits -> a.copy(rampStart = 0) } to "limits.rampStart is '0'",
            { a: ClassLimits -> a.copy(rampMillis = -1) } to "limits.rampMillis is '-1'",
            { a: ClassLimits -> a.copy(maxRunMillis = 0) } to "limits.maxRunMillis is '0'",
            { a: ClassLimits -> a.copy(defaultDeadlineMillis = 3_600_001) } to "limits.defaultDeadlineMillis",
            { a: ClassLimits -> a.copy(queueLimit = -1) } to "limits.queueLimit is '-1'",
            { a: ClassLimits -> a.copy(worth = Double.NaN) } to "limits.worth is 'NaN'",
            { a: ClassLimits -> a.copy(worth = 0.0) } to "limits.worth is '0.0'",
            { a: ClassLimits -> a.copy(firstByteMillis = 120_001) } to "limits.firstByteMillis is '120001'",
        )
        limitCases.forEach { (change, expected) ->
            test("a limit out of range is rejected: $expected") {
                val faults = base.faultsOf(PutEntry(chatV1.withLimits(change)))
                withClue(faults) { faults.any { it.startsWith("entry chat-v1: $expected") } shouldBe true }
            }
        }

        val chatV3 = chatV1.copy(name = EntryName("chat-v3"), version = VersionName("v3"), servers = emptyList())
        val updateCases = listOf(
            Triple("an empty update", base, emptyList<CatalogueChange>()) to
                "update: changes is '[]', expected at least one change",
            Triple(
                "an entry name with a capital letter and a space",
                base,
                listOf(PutEntry(chatV3.copy(name = EntryName("Chat 3")))),
            ) to
                "entry Chat 3: name is 'Chat 3', expected 1 to 63 of a-z, 0-9, '.' and '-'",
            Triple(
                "a host name instead of an IP address",
                base,
                listOf(
                    PutEntry(chatV3.copy(servers = listOf(server("c", "muc-a", 1).copy(address = "http://host:1")))),
                ),
            ) to
                "entry chat-v3: servers[c].address is 'http://host:1', " +
                "expected http:// with an IP number and a port from 1 to 65535",
            Triple(
                "a server id listed twice in an entry",
                base,
                listOf(PutEntry(chatV3.copy(servers = listOf(server("c", "muc-a", 1), server("c", "muc-a", 2))))),
            ) to
                "entry chat-v3: servers[c].id is 'c', expected an id that no other server of the entry has",
            Triple(
                "a server id of another entry",
                base,
                listOf(PutEntry(chatV3.copy(servers = listOf(server("a1", "muc-a", 1))))),
            ) to
                "entry chat-v3: servers[a1].id is 'a1', expected an id that entry chat-v1 does not have",
            Triple(
                "a server address of another entry",
                base,
                listOf(PutEntry(chatV3.copy(servers = listOf(server("c", "muc-a", 9001))))),
            ) to
                "entry chat-v3: servers.address is 'http://10.0.0.1:9001', " +
                "expected an address that entry chat-v1 does not have",
            Triple(
                "a second entry for a version of a class",
                base,
                listOf(PutEntry(chatV3.copy(version = VersionName("v1")))),
            ) to
                "entry chat-v3: version is 'v1', expected a version that entry chat-v1 does not have",
            Triple(
                "a class with entries of different kinds",
                base,
                listOf(PutEntry(chatV3.copy(kind = ServiceKind.PLAIN))),
            ) to
                "entry chat-v3: kind is 'PLAIN', expected MODEL as in entry chat-v1 of the same class",
            Triple(
                "a class with idempotent and non-idempotent entries",
                base,
                listOf(PutEntry(chatV3.withLimits { copy(idempotent = false) })),
            ) to
                "entry chat-v3: limits.idempotent is 'false', expected true as in entry chat-v1 of the same class",
            Triple("taking an unknown domain out of service", base, listOf(TakeOut(FailureDomain("muc-z")))) to
                "domain muc-z: domain is 'muc-z', expected one of muc-a, muc-b",
            Triple("returning an unknown domain to service", base, listOf(BringBack(FailureDomain("muc-z")))) to
                "domain muc-z: domain is 'muc-z', expected one of muc-a, muc-b",
            Triple(
                "taking a domain out of service and back in one update",
                base,
                listOf(TakeOut(FailureDomain("muc-a")), BringBack(FailureDomain("muc-a"))),
            ) to
                "domain muc-a: changes is '2 changes', expected one change to it in an update",
            Triple("retiring an unknown entry", base, listOf(RetireEntry(EntryName("chat-v9")))) to
                "entry chat-v9: name is 'chat-v9', expected one of chat-v1, chat-v2",
            Triple("retiring the target of a running move", duringMove, listOf(RetireEntry(EntryName("chat-v2")))) to
                "entry chat-v2: version is 'v2', expected a version that no running move uses",
            Triple("retiring the source of a running move", duringMove, listOf(RetireEntry(EntryName("chat-v1")))) to
                "entry chat-v1: version is 'v1', expected a version that no running move uses",
            Triple(
                "retiring the version that serves the class while another one remains",
                afterMove,
                listOf(RetireEntry(EntryName("chat-v2"))),
            ) to
                "entry chat-v2: version is 'v2', expected a version that traffic has moved away from",
            Triple(
                "replacing an entry so that a running move loses its target version",
                duringMove,
                listOf(PutEntry(chatV2.copy(version = VersionName("v9")))),
            ) to
                "move of chat: version is 'v2', expected an entry that keeps this version",
            Triple(
                "a move of an unknown class",
                base,
                listOf(MoveTraffic(RequestClass("tags"), VersionName("v2"), 1)),
            ) to
                "move of tags: requestClass is 'tags', expected one of chat",
            Triple("a move to a version without an entry", base, listOf(MoveTraffic(chat, VersionName("v9"), 1))) to
                "move of chat: to is 'v9', expected one of v1, v2",
            Triple("a move to the serving version", afterMove, listOf(MoveTraffic(chat, VersionName("v2"), 1))) to
                "move of chat: to is 'v2', expected a version other than the one that serves the class",
            Triple(
                "a second move while another one is running",
                duringMove,
                listOf(MoveTraffic(chat, VersionName("v1"), 1)),
            ) to
                "move of chat: to is 'v1', expected v2, to which a move is running, or its end first",
            Triple("a move without a completion time", base, listOf(MoveTraffic(chat, VersionName("v2"), 0))) to
                "move of chat: completeByEpochMillis is '0', expected a time after 1970",
            Triple("the end of a move for a class without one", base, listOf(EndMove(chat, VersionMove.State.DONE))) to
                "move of chat: requestClass is 'chat', expected a class with a running move",
            Triple(
                "the end of a move with the state RUNNING",
                duringMove,
                listOf(EndMove(chat, VersionMove.State.RUNNING)),
            ) to
                "move of chat: state is 'RUNNING', expected DONE or TAKEN_BACK",
        )
        updateCases.forEach { (case, expected) ->
            val (name, catalogue, changes) = case
            test("$name is rejected") {
                val faults = catalogue.faultsOf(*changes.toTypedArray())
                withClue(faults) { (expected in faults) shouldBe true }
            }
        }

        test("all faults of an update are reported at once, so that operators need not fix them one by one") {
            val bad = chatV1.withLimits { copy(maxInFlight = 0, queueLimit = -1) }
            val update =
                CatalogueUpdate(3, listOf(PutEntry(bad), TakeOut(FailureDomain("x")), RetireEntry(EntryName("y"))))
            val subjects = base.apply(update).fold({ faults -> faults.map { it.subject to it.field } }, { emptyList() })
            subjects shouldContainExactlyInAnyOrder listOf(
                "update" to "expectedVersion",
                "entry chat-v1" to "limits.maxInFlight",
                "entry chat-v1" to "limits.queueLimit",
                "domain x" to "domain",
                "entry y" to "name",
            )
        }

        test("an entry and the move to it may be in one update, in any order") {
            val single = Catalogue(version = 1, entries = mapOf(chatV1.name to chatV1))
            val next = single.updatedBy(MoveTraffic(chat, VersionName("v2"), 9), PutEntry(chatV2))
            next.version shouldBe 2
            next.moves[chat] shouldBe VersionMove(VersionName("v1"), VersionName("v2"), 9)
        }

        test("a move to the target of the running move changes its completion time") {
            val next = duringMove.updatedBy(MoveTraffic(chat, VersionName("v2"), 9_000))
            next.moves[chat]?.completeByEpochMillis shouldBe 9_000
        }

        test("the serving version follows completed and rolled-back moves, so that the next move starts from it") {
            base.servingVersion(chat) shouldBe null
            duringMove.servingVersion(chat) shouldBe VersionName("v1")
            afterMove.servingVersion(chat) shouldBe VersionName("v2")
            val rolledBack = duringMove.updatedBy(EndMove(chat, VersionMove.State.TAKEN_BACK))
            rolledBack.servingVersion(chat) shouldBe VersionName("v1")
            afterMove.updatedBy(MoveTraffic(chat, VersionName("v1"), 9)).moves[chat]?.from shouldBe VersionName("v2")
        }

        test("retiring the last entry of a class removes the record of its move") {
            val last = afterMove.updatedBy(RetireEntry(EntryName("chat-v1")))
            last.moves.keys shouldBe setOf(chat)
            last.updatedBy(RetireEntry(EntryName("chat-v2"))).moves shouldBe emptyMap()
        }

        test("a domain that has entry instances but no servers in the catalogue may be taken out of service") {
            val domain = FailureDomain("rgb-a")
            val update = CatalogueUpdate(7, listOf(TakeOut(domain)))
            base.apply(update, setOf(domain)).fold({ null }, { it.isInService(domain) }) shouldBe false
        }

        test("replaying an accepted update gives the same catalogue, so that all instances agree") {
            checkAll(PropTestConfig(seed = 11, iterations = 200), Arb.list(Arb.int(0..5), 1..12)) { steps ->
                steps.fold(base) { catalogue, step ->
                    val change = when (step) {
                        0 -> PutEntry(chatV2)
                        1 -> RetireEntry(EntryName("chat-v2"))
                        2 -> TakeOut(FailureDomain("muc-a"))
                        3 -> BringBack(FailureDomain("muc-a"))
                        4 -> MoveTraffic(chat, VersionName("v2"), 4)
                        else -> EndMove(chat, VersionMove.State.DONE)
                    }
                    val update = CatalogueUpdate(catalogue.version, listOf(change))
                    catalogue.apply(update).fold(
                        { catalogue },
                        {
                            it shouldBe catalogue.replay(update)
                            it.version shouldBe catalogue.version + 1
                            it
                        },
                    )
                }
            }
        }
    })
