package org.berylpoint.entry.stream

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/**
 * One chunk of a streamed chat completion and its position in the attempt.
 *
 * The OpenAI format has no position in a chunk. It is derived from the first of these that is present:
 * 1. The member `position`, an extension: the number of the chunk in the attempt, starting at 0.
 * 2. `usage.completion_tokens`, the token count so far, which vLLM adds to each chunk if `continuous_usage_stats` is
 *    set. The chunk covers the last tokens up to that count: as many as its choice has `token_ids` (requested by
 *    `return_token_ids`), or without ids one if it has text and none if it has not.
 *
 * Without either, chunks are processed in the order of arrival, which the connection preserves.
 *
 * A chunk belongs to the attempt of its connection. A member `attempt` or an `id` that differs from the other chunks of
 * the attempt marks a chunk of another answer.
 */
internal class ChatChunk private constructor(private val json: JsonObject, private val raw: String) {
    private val choice: JsonObject? = (json["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
    private val delta: JsonObject? = choice?.get("delta") as? JsonObject
    private val usage: JsonObject? = json["usage"] as? JsonObject

    val id: String? = text(json["id"])
    val created: JsonElement? get() = json["created"]
    val model: JsonElement? get() = json["model"]
    val attempt: String? = text(json["attempt"])
    val content: String = text(delta?.get("content")).orEmpty()
    val finishReason: String? = text(choice?.get("finish_reason"))

    /** Whether the chunk contains only token counts, like the last chunk of a stream. */
    val isUsageOnly: Boolean = choice == null && usage != null

    /** The error object that an engine sends instead of a chunk, as JSON. */
    val error: String? = json["error"]?.toString()

    /** Whether the chunk has no content besides text, such as tool calls, that a resume from the text would lose. */
    val isTextOnly: Boolean = delta.orEmpty().all { (name, value) ->
        name == "role" || name == "content" || value is JsonNull || (value is JsonArray && value.isEmpty())
    }

    val promptTokens: Int? = number(usage?.get("prompt_tokens"))

    /** Whether [positions] is an estimate: an engine that sends no token ids may put several tokens into one chunk. */
    val isPositionEstimated: Boolean get() = tokenIds == null && "position" !in json

    private val tokenIds: JsonArray? = choice?.get("token_ids") as? JsonArray

    /** Number of tokens in the chunk; assumed to be one for a chunk with text if the engine sends no token ids. */
    val tokens: Int = tokenIds?.size ?: if (content.isEmpty()) 0 else 1

    /** Positions that the chunk covers; null if it has no position. */
    val positions: IntRange? = findPositions()

    private fun findPositions(): IntRange? {
        number(json["position"])?.let { return it..it }
        val end = number(usage?.get("completion_tokens")) ?: return null
        return end - tokens until end
    }

    /**
     * Returns the event data for the caller, with the [head] of the first attempt and without the members that are
     * internal to Berylpoint. A chunk that needs no change is returned as received.
     */
    fun toCallerData(head: Head, isFirst: Boolean): String {
        val isUnchanged = head.id == id && INTERNAL_MEMBERS.none { it in json } && usage == null
        if (isUnchanged && (isFirst || delta?.containsKey("role") != true)) return raw
        val members = json.filterKeys { it !in INTERNAL_MEMBERS && it != "usage" }.toMutableMap()
        head.id?.let { members["id"] = JsonPrimitive(it) }
        head.created?.let { members["created"] = it }
        head.model?.let { members["model"] = it }
        if (choice != null) members["choices"] = JsonArray(listOf(choiceForCaller(choice, isFirst)))
        return JsonObject(members).toString()
    }

    private fun choiceForCaller(choice: JsonObject, isFirst: Boolean): JsonObject {
        val members = choice.filterKeys { it != "token_ids" }.toMutableMap()
        if (!isFirst && delta != null) members["delta"] = JsonObject(delta.filterKeys { it != "role" })
        return JsonObject(members)
    }

    /** Members that are the same in all chunks of an answer. */
    data class Head(val id: String?, val created: JsonElement?, val model: JsonElement?)

    companion object {
        private val INTERNAL_MEMBERS = setOf("position", "attempt", "prompt_token_ids")

        /** Parses the data of an event; returns null if it is not a JSON object. */
        fun parse(data: String): ChatChunk? =
            runCatching { Json.parseToJsonElement(data) as? JsonObject }.getOrNull()?.let { ChatChunk(it, data) }

        private fun text(value: JsonElement?) = (value as? JsonPrimitive)?.contentOrNull

        private fun number(value: JsonElement?) = (value as? JsonPrimitive)?.intOrNull
    }
}
