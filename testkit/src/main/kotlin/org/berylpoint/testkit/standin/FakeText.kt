package org.berylpoint.testkit.standin

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.random.Random

/**
 * The text that every stand-in engine generates for a prompt: a fixed function of the messages, whatever the server,
 * so that a whole answer can be checked after a migration.
 *
 * A marker `len:<tokens>` in the prompt sets the answer's natural length.
 */
public object FakeText {
    private val WORDS = listOf(
        "amber", "basalt", "cedar", "delta", "ember", "fjord", "granite", "harbour", "indigo", "juniper", "kelp",
        "lagoon", "maple", "nectar", "onyx", "pebble", "quartz", "river", "saffron", "tundra", "umber", "violet",
    )
    private val LENGTH = Regex("len:(\\d+)")

    /** The prompt of a chat completion request and what was generated of the answer before. */
    public data class Prompt(
        val text: String,
        val generated: String,
        val maxTokens: Int,
        val stream: Boolean,
        /** Whether a last chunk with token counts is asked for. */
        val usage: Boolean,
        /** Whether each chunk is to have token counts. */
        val continuousUsage: Boolean,
    ) {
        /** Tokens of the prompt without the generated part. */
        val size: Int get() = text.split(' ').size
    }

    /** Reads a chat completion request; null when it is not one. */
    public fun parse(body: String): Prompt? {
        val root = runCatching { Json.parseToJsonElement(body).jsonObject }.getOrNull() ?: return null
        val messages = runCatching { root["messages"]?.jsonArray?.map { it.jsonObject } }.getOrNull() ?: return null
        val resumes = root["continue_final_message"]?.jsonPrimitive?.booleanOrNull == true &&
            messages.lastOrNull()?.string("role") == "assistant"
        val asked = if (resumes) messages.dropLast(1) else messages
        return Prompt(
            text = asked.joinToString("\n") { "${it.string("role")}: ${it.string("content")}" },
            generated = if (resumes) messages.last().string("content") else "",
            maxTokens = (root["max_completion_tokens"] ?: root["max_tokens"])?.jsonPrimitive?.intOrNull ?: 4_096,
            stream = root["stream"]?.jsonPrimitive?.booleanOrNull == true,
            usage = root.option("include_usage"),
            continuousUsage = root.option("continuous_usage_stats"),
        )
    }

    /** The tokens of the whole answer to [prompt], before any limit; joined they are its text. */
    public fun tokens(prompt: String): List<String> {
        val random = Random(prompt.hashCode())
        val length = LENGTH.find(prompt)?.groupValues?.get(1)?.toInt() ?: random.nextInt(20, 120)
        return List(length) { i -> (if (i == 0) "" else " ") + WORDS.random(random) }
    }

    /** The text that a caller of [body] must get as a whole. */
    public fun expected(body: String): String {
        val prompt = requireNotNull(parse(body)) { "not a chat completion request" }
        return tokens(prompt.text).take(prompt.maxTokens).joinToString("")
    }

    /** A chat completion request for [content], with the caller's tag [call] and the class [model]. */
    public fun request(model: String, call: String, content: String, tokens: Int, stream: Boolean = true): String =
        """{"model":"$model","stream":$stream,"max_tokens":4096,"messages":[""" +
            """{"role":"user","content":"call:$call len:$tokens $content"}]}"""

    private fun JsonObject.option(name: String): Boolean =
        ((this["stream_options"] as? JsonObject)?.get(name) as? JsonPrimitive)?.booleanOrNull == true

    private fun JsonObject.string(name: String): String =
        runCatching { this[name]?.jsonPrimitive?.contentOrNull }.getOrNull().orEmpty()
}
