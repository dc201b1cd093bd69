package org.berylpoint.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Instance
import org.berylpoint.model.Problem
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.DumpData
import org.berylpoint.peer.PeerMessage.FetchDump
import org.berylpoint.peer.PeerNetwork
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Dumps the state of this instance's [components] and requests the dumps of other instances from them. */
public class StateDumpService(
    private val self: Instance,
    private val peers: PeerNetwork,
    private val components: () -> List<StateDump>,
) {
    /** State of this instance by component name, or of [component] alone. An unknown name gives an empty object. */
    public fun local(component: String? = null): JsonObject = JsonObject(
        components().filter { component == null || it.name == component }.associate { it.name to it.dump() },
    )

    /** Responds to a peer's [FetchDump]; null for other messages. */
    public fun handle(message: PeerMessage): PeerMessage? =
        (message as? FetchDump)?.let { DumpData(local(it.component).toString()) }

    /** Fetches the dump of [instance]; gives a `NoBackend` problem if it fails or responds with another message. */
    public suspend fun fetch(instance: Instance, component: String?): Either<Problem, JsonElement> {
        if (instance.id == self.id) return local(component).right()
        return peers.call(instance.peerAddress, FetchDump(component), FETCH_TIMEOUT).fold(
            { Problem(ErrorKind.NoBackend, "${instance.id} did not return its state dump: $it").left() },
            { answer ->
                if (answer is DumpData) {
                    Json.parseToJsonElement(answer.json).right()
                } else {
                    Problem(ErrorKind.NoBackend, "${instance.id} responded without a state dump").left()
                }
            },
        )
    }

    private companion object {
        val FETCH_TIMEOUT: Duration = 2.seconds
    }
}
