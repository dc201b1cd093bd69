package org.berylpoint.entry.node

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.berylpoint.entry.http.StateDump
import org.berylpoint.entry.member.DomainEpoch
import org.berylpoint.entry.member.MembershipView

/** A dump whose object [content] fills. [content] may run on any thread. */
private class NamedDump(override val name: String, private val content: JsonObjectBuilder.() -> Unit) : StateDump {
    override fun dump(): JsonElement = buildJsonObject(content)
}

/** Dump of the members with their state and of the ids that are confirmed to have departed. */
internal fun memberDump(view: () -> MembershipView): StateDump = NamedDump("members") {
    val current = view()
    put("self", current.self.id.value)
    putJsonObject("known") {
        current.members.values.forEach { member ->
            putJsonObject(member.instance.id.value) {
                put("failureDomain", member.instance.failureDomain.name)
                put("peerAddress", member.instance.peerAddress)
                put("state", member.state.name)
            }
        }
    }
    putJsonArray("departed") { current.departed.forEach { add(it.value) } }
}

/** Dump of this instance's newest epoch of each failure domain, with its members. */
internal fun epochDump(epochs: () -> Collection<DomainEpoch>): StateDump = NamedDump("epochs") {
    epochs().forEach { epoch ->
        putJsonObject(epoch.domain.name) {
            put("epoch", epoch.epoch)
            put("members", buildJsonArray { epoch.members.forEach { add(it.id.value) } })
        }
    }
}

/** Dump of the number of running and waiting requests on this instance. */
internal fun pipelineDump(inFlight: () -> Int): StateDump = NamedDump("pipeline") { put("inFlight", inFlight()) }
