package org.berylpoint.entry.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.encoder.EncoderBase
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/**
 * Encodes each log event as a JSON object on one line: `time` (ISO 8601, UTC), `level` unless it is INFO, `message`,
 * the event's key-value pairs, and `exception` with its stack trace. Values without a JSON type are written as strings.
 */
public class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray = NO_BYTES

    override fun footerBytes(): ByteArray = NO_BYTES

    override fun encode(event: ILoggingEvent): ByteArray = "${line(event)}\n".encodeToByteArray()

    private fun line(event: ILoggingEvent): JsonObject = buildJsonObject {
        put("time", JsonPrimitive(event.instant.toString()))
        if (event.level != Level.INFO) put("level", JsonPrimitive(event.level.toString()))
        put("message", JsonPrimitive(event.formattedMessage))
        event.keyValuePairs.orEmpty().forEach { put(it.key, toJson(it.value)) }
        event.throwableProxy?.let { put("exception", JsonPrimitive(ThrowableProxyUtil.asString(it))) }
    }

    private fun toJson(value: Any?): JsonElement = when (value) {
        null -> JsonNull
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        is Map<*, *> -> JsonObject(value.entries.associate { (key, part) -> key.toString() to toJson(part) })
        is Iterable<*> -> JsonArray(value.map(::toJson))
        else -> JsonPrimitive(value.toString())
    }

    private companion object {
        val NO_BYTES = ByteArray(0)
    }
}
