package org.berylpoint.entry.http

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import org.berylpoint.model.Catalogue
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.IdempotencyKey
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.Workspace
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.CodingErrorAction
import java.security.MessageDigest
import java.util.HexFormat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** An HTTP request before decoding. */
internal class RawRequest(
    val method: String,
    /** Path and query, not decoded. */
    val target: String,
    val headers: (String) -> String?,
    val body: ByteArray,
)

/**
 * Decodes HTTP requests into [ServeRequest]s. A problem's detail names the position of the error.
 *
 * Positions are a header's name, a line and column for a JSON syntax error, a byte offset for bad UTF-8, and a JSON
 * pointer (RFC 6901) for a wrong value, as in `/messages/1/role: must be a string`.
 */
internal class RequestDecoder(
    private val limits: HttpLimits,
    private val time: TimeSource.WithComparableMarks,
    private val catalogue: () -> Catalogue?,
) {
    /** Decodes a request to `/v1/chat/completions`; the request class is the body's `model`. */
    fun decodeChat(id: RequestId, raw: RawRequest): Either<Problem, ServeRequest> = either {
        val common = decodeCommonFields(raw)
        val body = parseJson(common.body).bind()
        ensure(body is JsonObject) { malformed("body: must be a JSON object") }
        val requestClass = RequestClass(requiredString(body, "model"))
        checkMessages(body)
        checkOptions(body)
        val stream = optionalBoolean(body, "stream")
        serveRequest(id, raw, common, requestClass, ServiceKind.MODEL, CHAT_PATH, stream)
    }

    /** Decodes a request to `/services/<class>/...`; the path after the class is sent to the backend server. */
    fun decodeService(id: RequestId, raw: RawRequest): Either<Problem, ServeRequest> = either {
        val rest = raw.target.removePrefix(SERVICES_PREFIX)
        val name = rest.takeWhile { it != '/' && it != '?' }
        ensure(name.isNotEmpty()) { malformed("path: no request class after $SERVICES_PREFIX") }
        val path = rest.substring(name.length).let { if (it.startsWith("/")) it else "/$it" }
        serveRequest(id, raw, decodeCommonFields(raw), RequestClass(name), ServiceKind.PLAIN, path, stream = false)
    }

    private class CommonFields(
        val workspace: Workspace,
        val key: IdempotencyKey?,
        val deadline: Duration?,
        val body: String,
    )

    private fun Raise<Problem>.decodeCommonFields(raw: RawRequest): CommonFields {
        val workspace = raw.headers(WORKSPACE_HEADER)
        ensure(!workspace.isNullOrBlank()) { malformed("header $WORKSPACE_HEADER: missing") }
        ensure(isName(workspace)) { malformed("header $WORKSPACE_HEADER: ${nameRule()}") }
        val key = raw.headers(IDEMPOTENCY_KEY_HEADER)
        ensure(key == null || isName(key)) { malformed("header $IDEMPOTENCY_KEY_HEADER: ${nameRule()}") }
        val millis = raw.headers(DEADLINE_HEADER)?.let {
            val value = it.toLongOrNull()
            ensure(value != null && value > 0 && value <= limits.maxDeadline.inWholeMilliseconds) {
                malformed("header $DEADLINE_HEADER: must be from 1 to ${limits.maxDeadline.inWholeMilliseconds}")
            }
            value
        }
        ensure(raw.body.size <= limits.maxBodyBytes) { tooLarge(limits) }
        val body = decodeUtf8(raw.body).bind()
        return CommonFields(Workspace(workspace), key?.let(::IdempotencyKey), millis?.milliseconds, body)
    }

    // Printable ASCII except the slash, which separates the parts of a table key.
    private fun isName(value: String) =
        value.isNotEmpty() && value.length <= limits.maxNameLength && value.all { it in '!'..'~' && it != '/' }

    private fun nameRule() = "must be 1 to ${limits.maxNameLength} printable ASCII characters other than space and '/'"

    private fun serveRequest(
        id: RequestId,
        raw: RawRequest,
        common: CommonFields,
        requestClass: RequestClass,
        kind: ServiceKind,
        path: String,
        stream: Boolean,
    ): ServeRequest {
        val remaining = common.deadline ?: defaultDeadline(requestClass)
        return ServeRequest(
            id = id,
            workspace = common.workspace,
            requestClass = requestClass,
            kind = kind,
            method = raw.method,
            path = path,
            contentType = raw.headers("Content-Type") ?: "application/json",
            body = common.body,
            idempotencyKey = common.key,
            deadline = time.markNow() + remaining,
            stream = stream,
            fingerprint = fingerprintOf(common.workspace, requestClass, common.body),
        )
    }

    private fun defaultDeadline(requestClass: RequestClass): Duration =
        catalogue()?.entriesOf(requestClass)?.maxOfOrNull { it.limits.defaultDeadlineMillis }?.milliseconds
            ?: FALLBACK_DEADLINE

    private fun Raise<Problem>.checkMessages(body: JsonObject) {
        val messages = body["messages"]
        ensure(messages is JsonArray) { malformed("/messages: must be an array") }
        ensure(messages.isNotEmpty()) { malformed("/messages: must not be empty") }
        messages.forEachIndexed { i, message ->
            ensure(message is JsonObject) { malformed("/messages/$i: must be an object") }
            ensure(message["role"].isString()) { malformed("/messages/$i/role: must be a string") }
            val content = message["content"]
            ensure(content == null || content is JsonNull || content.isString() || content is JsonArray) {
                malformed("/messages/$i/content: must be a string or an array")
            }
        }
    }

    private fun Raise<Problem>.checkOptions(body: JsonObject) {
        for (name in listOf("max_tokens", "max_completion_tokens")) {
            val value = body[name]
            val number = (value as? JsonPrimitive)?.takeUnless { it.isString }?.intOrNull
            ensure(value == null || value is JsonNull || (number != null && number > 0)) {
                malformed("/$name: must be a positive integer")
            }
        }
        val n = body["n"]
        // Stream positions are counted for a single choice; several choices would need a count each.
        ensure(n == null || n is JsonNull || (n as? JsonPrimitive)?.intOrNull == 1) { malformed("/n: must be 1") }
    }

    private fun Raise<Problem>.requiredString(body: JsonObject, name: String): String {
        val value = body[name]
        ensure(value is JsonPrimitive && value.isString && value.content.isNotEmpty()) {
            malformed("/$name: must be a non-empty string")
        }
        return value.content
    }

    private fun Raise<Problem>.optionalBoolean(body: JsonObject, name: String): Boolean {
        val value = body[name] ?: return false
        if (value is JsonNull) return false
        val flag = (value as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull
        ensure(flag != null) { malformed("/$name: must be true or false") }
        return flag
    }

    companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val SERVICES_PREFIX = "/services/"
        const val WORKSPACE_HEADER = "Berylpoint-Workspace"
        const val DEADLINE_HEADER = "Berylpoint-Deadline-Ms"
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

        /** For a class that is not in the catalogue; the pipeline refuses such a request. */
        private val FALLBACK_DEADLINE = 30.seconds
    }
}

internal fun malformed(detail: String) = Problem(ErrorKind.MalformedRequest, detail)

internal fun tooLarge(limits: HttpLimits) =
    Problem(ErrorKind.TooLarge, "body: larger than ${limits.maxBodyBytes} bytes")

/** SHA-256 of the three values, each prefixed with its length, so that different triples never hash the same input. */
internal fun fingerprintOf(workspace: Workspace, requestClass: RequestClass, body: String): Fingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    for (part in listOf(workspace.name, requestClass.name, body)) {
        val bytes = part.toByteArray()
        digest.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(0, bytes.size))
        digest.update(bytes)
    }
    return Fingerprint(HexFormat.of().formatHex(digest.digest()))
}

private fun JsonElement?.isString() = this is JsonPrimitive && isString

private fun decodeUtf8(bytes: ByteArray): Either<Problem, String> {
    val input = ByteBuffer.wrap(bytes)
    val decoder = Charsets.UTF_8.newDecoder()
        .onMalformedInput(CodingErrorAction.REPORT)
        .onUnmappableCharacter(CodingErrorAction.REPORT)
    return try {
        decoder.decode(input).toString().right()
    } catch (e: CharacterCodingException) {
        malformed("body: not UTF-8 at byte ${input.position()}").left()
    }
}

private fun parseJson(text: String): Either<Problem, JsonElement> = try {
    Json.parseToJsonElement(text).right()
} catch (e: SerializationException) {
    malformed("body: not JSON at ${positionOf(e, text)}").left()
}

// The parser reports the offset only in its message.
private val OFFSET = Regex("at offset (\\d+)")

private fun positionOf(e: SerializationException, text: String): String {
    val offset = OFFSET.find(e.message.orEmpty())?.groupValues?.get(1)?.toInt()?.coerceAtMost(text.length)
        ?: return "an unknown position"
    val before = text.substring(0, offset)
    return "line ${before.count { it == '\n' } + 1}, column ${offset - (before.lastIndexOf('\n') + 1) + 1}"
}
