package org.berylpoint.testkit.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.model.BackendServer
import org.berylpoint.model.VersionName
import kotlin.random.Random

/**
 * A plain service that books seats: each arrival of a call is run, so that a double run shows in [runsByKey].
 *
 * As with many such services, a run goes on to its end when the connection closes in the middle.
 */
public class FakePlainService(
    server: BackendServer,
    version: VersionName,
    journal: Journal,
    scope: CoroutineScope,
    random: Random,
    private val runMillis: Double = 50.0,
    carrying: Carrying = Carrying(cold = 4, warm = 16, warmupMillis = 10_000),
    overload: OverloadBehaviour = OverloadBehaviour.SLOW,
    startsWarm: Boolean = true,
) : FakeServer(server, version, journal, scope, random, carrying, overload, startsWarm) {
    private val runs = mutableMapOf<String, Int>()

    /** How often a call with each `Idempotency-Key` was run here. */
    public val runsByKey: Map<String, Int> get() = runs.toMap()

    internal override val stopsOnDisconnect: Boolean get() = false

    override suspend fun run(call: BackendCall, served: ServedCall, connection: ServerConnection, breaksOff: Boolean) {
        journal.add(ServerEvent.Started(journal.now(), served))
        call.idempotencyKey?.let { runs.merge(it, 1, Int::plus) }
        val cold = 1 + 3 * (1 - warmth)
        work(runMillis * cold * slowness(call))
        if (breaksOff) {
            journal.add(ServerEvent.Finished(journal.now(), served, 599))
            connection.put(
                BackendEvent.Broken(sent = true, detail = "connection reset"),
            )
            return
        }
        journal.add(ServerEvent.Finished(journal.now(), served, 200))
        answer(connection, 200, expected(call.method, call.path, call.body))
    }

    public companion object {
        /** The answer that a call must get, whichever server runs it. */
        public fun expected(method: String, path: String, body: String): String = buildJsonObject {
            put("confirmed", true)
            put("call", callTag(body))
            put("digest", "$method $path $body".hashCode())
        }.toString()

        /** A booking with the caller's tag [call]. */
        public fun request(call: String, seat: String): String = """{"note":"call:$call","seat":"$seat"}"""
    }
}
