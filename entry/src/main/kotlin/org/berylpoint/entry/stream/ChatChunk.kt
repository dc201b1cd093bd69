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
 * One chunk of a streamed chat completion and its place in the attempt.
 *
 * The OpenAI format gives chunks no position. It is found in this order:
 * 1. the member `position`, an extension: the chunk's number in the attempt from 0;
 * 2. `usage.completion_tokens`, the token count so far, which vLLM adds to each chunk when asked by
 *    `continuous_usage_stats`: the chunk covers the tokens up to that count, as many as its choice has `token_ids`
 *    (asked for by `return_token_ids`); without ids one if it has text, else none;
 * 3. neither: chunks are taken in the order of arrival, which the connection keeps.
 *
 * The attempt of a chunk is that of its connection. A member `attempt` or an `id` that differs from the attempt's other
 * chunks marks a chunk of another answer.
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

    /** Whether the chunk only carries token counts, as the last one of a stream does. */
    val isUsageOnly: Boolean = choice == null && usage != null

    /** The error that an engine sends in place of a chunk. */
    val error: String? = json["error"]?.toString()

    /** Whether a resume from text alone loses nothing of this chunk: tool calls and the like have no text. */
    val isTextOnly: Boolean = delta.orEmpty().all { (name, value) ->
        name == "role" || name == "content" || value is JsonNull || (value is JsonArray && value.isEmpty())
    }

    val promptTokens: Int? = number(usage?.get("prompt_tokens"))

    /** Whether [positions] is a guess: an engine that gives no ids may put several tokens into one chunk. */
    val isPositionEstimated: Boolean get() = tokenIds == null && "position" !in json

    private val tokenIds: JsonArray? = choice?.get("token_ids") as? JsonArray

    /** Tokens of the chunk; one for each chunk with text when the engine gives no ids. */
    val tokens: Int = tokenIds?.size ?: if (content.isEmpty()) 0 else 1

    /** Positions that the chunk covers; null when it has no position. */
    val positions: IntRange? = findPositions()

    private fun findPositions(): IntRange? {
        number(json["position"])?.let { return it..it }
        val end = number(usage?.get("completion_tokens")) ?: return null
        return end - tokens until end
    }

    /**
     * The chunk's data for the caller: under the first attempt's [head], and without the members that are only for
     * Berylpoint. An unchanged chunk is passed on as it came.
     */
    fun toCallerData(head: Head, isFirst: Boolean): String {
        val isSame = head.id == id && INTERNAL.none { it in json } && usage == null
        if (isSame && (isFirst || delta?.containsKey("role") != true)) return raw
        val members = json.filterKeys { it !in INTERNAL && it != "usage" }.toMutableMap()
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

    /** The members that all chunks of one answer share. */
    data class Head(val id: String?, val created: JsonElement?, val model: JsonElement?)

    companion object {
        private val INTERNAL = setOf("position", "attempt", "prompt_token_ids")

        /** The parsed data of an event; null when it is no JSON object. */
        fun parse(data: String): ChatChunk? =
            runCatching { Json.parseToJsonElement(data) as? JsonObject }.getOrNull()?.let { ChatChunk(it, data) }

        private fun text(value: JsonElement?) = (value as? JsonPrimitive)?.contentOrNull

        private fun number(value: JsonElement?) = (value as? JsonPrimitive)?.intOrNull
    }
}
