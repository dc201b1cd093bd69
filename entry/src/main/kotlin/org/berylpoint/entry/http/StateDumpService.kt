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

/** The state of this instance's [components] and, through its peers, of the others'. */
public class StateDumpService(
    private val self: Instance,
    private val peers: PeerNetwork,
    private val components: () -> List<StateDump>,
) {
    /** The states by component, or that of [component] alone; an unknown name gives an empty object. */
    public fun local(component: String? = null): JsonObject = JsonObject(
        components().filter { component == null || it.name == component }.associate { it.name to it.dump() },
    )

    /** Answers a peer's call; null for other messages. */
    public fun handle(message: PeerMessage): PeerMessage? =
        (message as? FetchDump)?.let { DumpData(local(it.component).toString()) }

    /** The dump of [instance]. */
    public suspend fun fetch(instance: Instance, component: String?): Either<Problem, JsonElement> {
        if (instance.id == self.id) return local(component).right()
        return peers.call(instance.peerAddress, FetchDump(component), TIMEOUT).fold(
            { Problem(ErrorKind.NoBackend, "${instance.id} can't be reached: $it").left() },
            { answer ->
                if (answer is DumpData) {
                    Json.parseToJsonElement(answer.json).right()
                } else {
                    Problem(ErrorKind.NoBackend, "${instance.id} gave no dump").left()
                }
            },
        )
    }

    private companion object {
        val TIMEOUT: Duration = 2.seconds
    }
}
