package org.berylpoint.entry.stream

import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.berylpoint.entry.pipeline.Exchange
import org.berylpoint.model.ResponseEvent

/**
 * Assembles the answer over all attempts and sends it to the caller: as events while it is generated if the caller
 * asked for a stream, otherwise as one body at the end.
 *
 * Nothing is sent before the first chunk, so that an earlier failure can be answered with its own HTTP status.
 */
internal class AnswerWriter(private val exchange: Exchange) {
    private val isStream = exchange.request.stream
    private val wantsUsage = exchange.chat?.wantsUsage ?: false
    private var head: ChatChunk.Head? = null
    private var promptTokens: Int? = null
    private val builder = StringBuilder()

    /** Text generated so far. */
    val text: String get() = builder.toString()

    /** Number of tokens in [text], by the counts of the engines, or one for each chunk with text without them. */
    var tokens: Int = 0
        private set

    /** The engine's `finish_reason`; null until the answer is complete. */
    var finishReason: String? = null
        private set

    /** Whether another server can continue the answer from [text] alone. */
    var isResumable: Boolean = true
        private set

    /** Whether a part of the answer was already sent to the caller. */
    val hasSentPart: Boolean get() = isStream && head != null

    /** Appends [chunk], which must follow the chunks added before, and sends it if the answer is streamed. */
    suspend fun add(chunk: ChatChunk) {
        promptTokens = promptTokens ?: chunk.promptTokens
        if (finishReason != null || chunk.isUsageOnly) return
        val isFirst = head == null
        val head = head ?: ChatChunk.Head(chunk.id, chunk.created, chunk.model).also { head = it }
        if (isFirst && isStream) exchange.emit(ResponseEvent.Head(STATUS_OK, "text/event-stream"))
        builder.append(chunk.content)
        tokens += chunk.tokens
        finishReason = chunk.finishReason
        isResumable = isResumable && chunk.isTextOnly
        // Later attempts start with a chunk that only repeats the role; it is not sent again.
        val isEmpty = chunk.content.isEmpty() && chunk.finishReason == null && chunk.isTextOnly
        if (isStream && (isFirst || !isEmpty)) exchange.emit(ResponseEvent.Data(chunk.toCallerData(head, isFirst)))
    }

    /** Discards the text, of which nothing was sent to the caller, so that the answer is generated from the start. */
    fun restart() {
        check(!hasSentPart) { "a part of the answer was already sent to the caller" }
        head = null
        builder.setLength(0)
        tokens = 0
        isResumable = true
    }

    /** Ends the answer, with [reason] as `finish_reason` if the engine sent none. */
    suspend fun finish(reason: String) {
        val head = head ?: ChatChunk.Head(exchange.request.id.value, null, null)
        if (isStream) {
            if (finishReason == null) exchange.emit(ResponseEvent.Data(finishChunk(head, reason)))
            if (wantsUsage) exchange.emit(ResponseEvent.Data(usageChunk(head)))
            exchange.emit(ResponseEvent.Data(DONE))
        } else {
            exchange.emit(ResponseEvent.Head(STATUS_OK, "application/json"))
            exchange.emit(ResponseEvent.Data(completion(head, finishReason ?: reason)))
        }
        exchange.emit(ResponseEvent.End)
    }

    private fun finishChunk(head: ChatChunk.Head, reason: String) = envelope(head, CHUNK) {
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putJsonObject("delta") {}
                put("finish_reason", reason)
            }
        }
    }

    private fun usageChunk(head: ChatChunk.Head) = envelope(head, CHUNK) {
        putJsonArray("choices") {}
        put("usage", usage())
    }

    private fun completion(head: ChatChunk.Head, reason: String) = envelope(head, "chat.completion") {
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putJsonObject("message") {
                    put("role", "assistant")
                    put("content", text)
                }
                put("finish_reason", reason)
            }
        }
        put("usage", usage())
    }

    private fun envelope(head: ChatChunk.Head, kind: String, content: JsonObjectBuilder.() -> Unit) = buildJsonObject {
        put("id", head.id)
        put("object", kind)
        put("created", head.created ?: JsonPrimitive(0))
        put("model", head.model ?: JsonPrimitive(exchange.request.requestClass.name))
        content()
    }.toString()

    private fun usage() = buildJsonObject {
        val prompt = promptTokens
        put("prompt_tokens", prompt?.let(::JsonPrimitive) ?: JsonNull)
        put("completion_tokens", tokens)
        put("total_tokens", prompt?.let { JsonPrimitive(it + tokens) } ?: JsonNull)
    }

    companion object {
        /** Data of the last event of a stream. */
        const val DONE = "[DONE]"
        private const val CHUNK = "chat.completion.chunk"
        private const val STATUS_OK = 200
    }
}
