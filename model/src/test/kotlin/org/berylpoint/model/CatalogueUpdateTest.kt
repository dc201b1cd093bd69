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
private val moving = base.next(MoveTraffic(chat, VersionName("v2"), 5_000))
private val moved = moving.next(EndMove(chat, VersionMove.State.DONE))

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

private fun Catalogue.next(vararg changes: CatalogueChange): Catalogue =
    apply(CatalogueUpdate(version, changes.toList())).fold({ error(it.joinToString()) }, { it })

private fun Catalogue.faultsOf(vararg changes: CatalogueChange): List<String> =
    apply(CatalogueUpdate(version, changes.toList())).fold({ it.map(CatalogueFault::toString) }, { emptyList() })

private fun CatalogueEntry.limited(change: ClassLimits.() -> ClassLimits) = copy(limits = limits.change())

/** Each row guards against accepting one kind of wrong update. */
class CatalogueUpdateTest :
    FunSpec({
        val limits = listOf<Pair<ClassLimits.() -> ClassLimits, String>>(
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
        limits.forEach { (change, expected) ->
            test("a limit out of range is refused: $expected") {
                val faults = base.faultsOf(PutEntry(chatV1.limited(change)))
                withClue(faults) { faults.any { it.startsWith("entry chat-v1: $expected") } shouldBe true }
            }
        }

        val other = chatV1.copy(name = EntryName("chat-v3"), version = VersionName("v3"), servers = emptyList())
        val updates = listOf(
            Triple("an empty update", base, emptyList<CatalogueChange>()) to
                "update: changes is '[]', expected at least one change",
            Triple("a bad entry name", base, listOf(PutEntry(other.copy(name = EntryName("Chat 3"))))) to
                "entry Chat 3: name is 'Chat 3', expected 1 to 63 of a-z, 0-9, '.' and '-'",
            Triple(
                "a server name instead of an IP number",
                base,
                listOf(PutEntry(other.copy(servers = listOf(server("c", "muc-a", 1).copy(address = "http://host:1"))))),
            ) to
                "entry chat-v3: servers[c].address is 'http://host:1', " +
                "expected http:// with an IP number and a port from 1 to 65535",
            Triple(
                "a server twice in an entry",
                base,
                listOf(PutEntry(other.copy(servers = listOf(server("c", "muc-a", 1), server("c", "muc-a", 2))))),
            ) to
                "entry chat-v3: servers[c].id is 'c', expected an id that no other server of the entry has",
            Triple(
                "a server of another entry",
                base,
                listOf(PutEntry(other.copy(servers = listOf(server("a1", "muc-a", 1))))),
            ) to
                "entry chat-v3: servers[a1].id is 'a1', expected an id that entry chat-v1 does not have",
            Triple(
                "an address of another entry",
                base,
                listOf(PutEntry(other.copy(servers = listOf(server("c", "muc-a", 9001))))),
            ) to
                "entry chat-v3: servers.address is 'http://10.0.0.1:9001', " +
                "expected an address that entry chat-v1 does not have",
            Triple("a version twice in a class", base, listOf(PutEntry(other.copy(version = VersionName("v1"))))) to
                "entry chat-v3: version is 'v1', expected a version that entry chat-v1 does not have",
            Triple("a class of two kinds", base, listOf(PutEntry(other.copy(kind = ServiceKind.PLAIN)))) to
                "entry chat-v3: kind is 'PLAIN', expected MODEL as in entry chat-v1 of the same class",
            Triple("a class idempotent in part", base, listOf(PutEntry(other.limited { copy(idempotent = false) }))) to
                "entry chat-v3: limits.idempotent is 'false', expected true as in entry chat-v1 of the same class",
            Triple("an unknown domain", base, listOf(TakeOut(FailureDomain("muc-z")))) to
                "domain muc-z: domain is 'muc-z', expected one of muc-a, muc-b",
            Triple("an unknown domain to bring back", base, listOf(BringBack(FailureDomain("muc-z")))) to
                "domain muc-z: domain is 'muc-z', expected one of muc-a, muc-b",
            Triple(
                "a domain out and back at once",
                base,
                listOf(TakeOut(FailureDomain("muc-a")), BringBack(FailureDomain("muc-a"))),
            ) to
                "domain muc-a: changes is '2 changes', expected one change to it in an update",
            Triple("an unknown entry to retire", base, listOf(RetireEntry(EntryName("chat-v9")))) to
                "entry chat-v9: name is 'chat-v9', expected one of chat-v1, chat-v2",
            Triple("retiring the target of a running move", moving, listOf(RetireEntry(EntryName("chat-v2")))) to
                "entry chat-v2: version is 'v2', expected a version that no running move uses",
            Triple("retiring the source of a running move", moving, listOf(RetireEntry(EntryName("chat-v1")))) to
                "entry chat-v1: version is 'v1', expected a version that no running move uses",
            Triple("retiring the version that serves", moved, listOf(RetireEntry(EntryName("chat-v2")))) to
                "entry chat-v2: version is 'v2', expected a version that traffic has moved away from",
            Triple(
                "a replacement that drops a moving version",
                moving,
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
            Triple("a move to the serving version", moved, listOf(MoveTraffic(chat, VersionName("v2"), 1))) to
                "move of chat: to is 'v2', expected a version other than the one that serves the class",
            Triple("a second move while one runs", moving, listOf(MoveTraffic(chat, VersionName("v1"), 1))) to
                "move of chat: to is 'v1', expected v2, to which a move is running, or its end first",
            Triple("a move without a time", base, listOf(MoveTraffic(chat, VersionName("v2"), 0))) to
                "move of chat: completeByEpochMillis is '0', expected a time after 1970",
            Triple("the end of no move", base, listOf(EndMove(chat, VersionMove.State.DONE))) to
                "move of chat: requestClass is 'chat', expected a class with a running move",
            Triple("an end that is none", moving, listOf(EndMove(chat, VersionMove.State.RUNNING))) to
                "move of chat: state is 'RUNNING', expected DONE or TAKEN_BACK",
        )
        updates.forEach { (given, expected) ->
            val (name, catalogue, changes) = given
            test("$name is refused") {
                val faults = catalogue.faultsOf(*changes.toTypedArray())
                withClue(faults) { (expected in faults) shouldBe true }
            }
        }

        test("all faults of an update are told at once, so that operators do not fix them one by one") {
            val bad = chatV1.limited { copy(maxInFlight = 0, queueLimit = -1) }
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

        test("an entry and the move to it may come in one update, in any order") {
            val single = Catalogue(version = 1, entries = mapOf(chatV1.name to chatV1))
            val next = single.next(MoveTraffic(chat, VersionName("v2"), 9), PutEntry(chatV2))
            next.version shouldBe 2
            next.moves[chat] shouldBe VersionMove(VersionName("v1"), VersionName("v2"), 9)
        }

        test("a running move takes a new time") {
            moving.next(MoveTraffic(chat, VersionName("v2"), 9_000)).moves[chat]?.completeByEpochMillis shouldBe 9_000
        }

        test("the serving version follows the moves, so that the next move starts from the right one") {
            base.servingVersion(chat) shouldBe null
            moving.servingVersion(chat) shouldBe VersionName("v1")
            moved.servingVersion(chat) shouldBe VersionName("v2")
            moving.next(EndMove(chat, VersionMove.State.TAKEN_BACK)).servingVersion(chat) shouldBe VersionName("v1")
            moved.next(MoveTraffic(chat, VersionName("v1"), 9)).moves[chat]?.from shouldBe VersionName("v2")
        }

        test("the last entry of a class takes the record of its move along") {
            val last = moved.next(RetireEntry(EntryName("chat-v1")))
            last.moves.keys shouldBe setOf(chat)
            last.next(RetireEntry(EntryName("chat-v2"))).moves shouldBe emptyMap()
        }

        test("a domain that only the entry instances know may be taken out") {
            val domain = FailureDomain("rgb-a")
            val update = CatalogueUpdate(7, listOf(TakeOut(domain)))
            base.apply(update, setOf(domain)).fold({ null }, { it.isInService(domain) }) shouldBe false
        }

        test("accepted updates replay to the same catalogue, so that all instances agree") {
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
