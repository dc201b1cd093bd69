package org.berylpoint.entry.stream

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put

/** The parsed body of a chat completions request. */
internal class ChatBody private constructor(private val json: JsonObject) {
    private val messages: JsonArray get() = json["messages"] as? JsonArray ?: JsonArray(emptyList())

    /** Maximum number of tokens to generate; null if the caller sets no limit. */
    val maxTokens: Int? = (number("max_completion_tokens") ?: number("max_tokens"))

    /** Whether the caller asked for a final chunk with the token counts. */
    val wantsUsage: Boolean =
        ((json["stream_options"] as? JsonObject)?.get("include_usage") as? JsonPrimitive)?.booleanOrNull ?: false

    /**
     * Key for prefix-cache affinity: the text of all messages up to and including the first user message, truncated to
     * [PREFIX_LENGTH] characters. It stays the same over the turns of a conversation.
     */
    val prefix: String by lazy(LazyThreadSafetyMode.NONE) {
        val head = messages.takeWhile { roleOf(it) != "user" }
        (head + listOfNotNull(messages.getOrNull(head.size))).joinToString("\n") { textOf(it) }.take(PREFIX_LENGTH)
    }

    /** Number of characters in all messages; divided by [CHARS_PER_TOKEN] it estimates the prompt tokens. */
    val promptChars: Int by lazy(LazyThreadSafetyMode.NONE) { messages.sumOf { textOf(it).length } }

    /**
     * Returns the body to send to an engine, which always asks for a stream with a token count in each chunk. To resume
     * an answer, [generated] is the text so far and [tokens] its number of tokens: the text is appended as the last
     * message, `continue_final_message` makes the engine continue it, and the token limits are reduced by [tokens].
     */
    fun toEngineBody(generated: String = "", tokens: Int = 0): String = buildJsonObject {
        json.forEach { (name, value) -> put(name, value) }
        put("stream", true)
        put("stream_options", STREAM_OPTIONS)
        if (generated.isNotEmpty()) {
            put("messages", JsonArray(messages + assistant(generated)))
            put("continue_final_message", true)
            put("add_generation_prompt", false)
            for (name in listOf("max_tokens", "max_completion_tokens")) {
                number(name)?.let { put(name, (it - tokens).coerceAtLeast(1)) }
            }
        }
    }.toString()

    private fun number(name: String): Int? = (json[name] as? JsonPrimitive)?.intOrNull

    private fun assistant(text: String) = buildJsonObject {
        put("role", "assistant")
        put("content", text)
    }

    private fun roleOf(message: JsonElement) = ((message as? JsonObject)?.get("role") as? JsonPrimitive)?.contentOrNull

    private fun textOf(message: JsonElement): String = when (val content = (message as? JsonObject)?.get("content")) {
        null, is JsonNull -> ""
        is JsonPrimitive -> content.content
        else -> content.toString()
    }

    companion object {
        /** Longer prefixes differ between callers of one system prompt and would spread them over more servers. */
        const val PREFIX_LENGTH = 1_024

        /** Rough mean for the languages of the sites; only used to compare the costs of stream migrations. */
        const val CHARS_PER_TOKEN = 4

        private val STREAM_OPTIONS = buildJsonObject {
            put("include_usage", true)
            put("continuous_usage_stats", true)
        }

        /** Parses [body]; returns null if it is not a JSON object. */
        fun parse(body: String): ChatBody? =
            runCatching { Json.parseToJsonElement(body) as? JsonObject }.getOrNull()?.let(::ChatBody)
    }
}
