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
 * The answer as the caller gets it over all attempts: as events while it is generated, or whole at the end.
 *
 * Nothing is given before the first chunk, so that a failure before it can be answered with its own status.
 */
internal class AnswerWriter(private val exchange: Exchange) {
    private val isStream = exchange.request.stream
    private val wantsUsage = exchange.chat?.wantsUsage ?: false
    private var head: ChatChunk.Head? = null
    private var promptTokens: Int? = null
    private val builder = StringBuilder()

    /** Text given so far. */
    val text: String get() = builder.toString()

    /** Tokens of [text], by the engines' counts as far as they give them. */
    var tokens: Int = 0
        private set

    /** Why the answer is complete, once it is. */
    var finishReason: String? = null
        private set

    /** Whether another server can go on from [text] alone. */
    var isResumable: Boolean = true
        private set

    /** Whether the caller got a part that can't be taken back. */
    val hasSentPart: Boolean get() = isStream && head != null

    /** Gives [chunk], which follows the chunks given before. */
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
        // A later attempt's chunk that only opens the answer again says nothing new.
        val isEmpty = chunk.content.isEmpty() && chunk.finishReason == null && chunk.isTextOnly
        if (isStream && (isFirst || !isEmpty)) exchange.emit(ResponseEvent.Data(chunk.toCallerData(head, isFirst)))
    }

    /** Forgets a part that the caller has not got, to generate the answer anew. */
    fun restart() {
        check(!hasSentPart) { "the caller has a part of the answer" }
        head = null
        builder.setLength(0)
        tokens = 0
        isResumable = true
    }

    /** Ends the answer, with [reason] if the engine gave none. */
    suspend fun finish(reason: String) {
        val head = head ?: ChatChunk.Head(exchange.request.id.value, null, null)
        if (isStream) {
            if (finishReason == null) exchange.emit(ResponseEvent.Data(lastChunk(head, reason)))
            if (wantsUsage) exchange.emit(ResponseEvent.Data(usageChunk(head)))
            exchange.emit(ResponseEvent.Data(DONE))
        } else {
            exchange.emit(ResponseEvent.Head(STATUS_OK, "application/json"))
            exchange.emit(ResponseEvent.Data(whole(head, finishReason ?: reason)))
        }
        exchange.emit(ResponseEvent.End)
    }

    private fun lastChunk(head: ChatChunk.Head, reason: String) = envelope(head, CHUNK) {
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

    private fun whole(head: ChatChunk.Head, reason: String) = envelope(head, "chat.completion") {
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
        /** The data of the last event of a stream. */
        const val DONE = "[DONE]"
        private const val CHUNK = "chat.completion.chunk"
        private const val STATUS_OK = 200
    }
}
