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
 * Writes each log event as one JSON object on a line: `time` (ISO 8601, UTC), `level` unless it is INFO, `message`, the
 * event's key-value pairs, and `exception` with its stack. Values that JSON has no form for are written as text.
 */
public class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray = EMPTY

    override fun footerBytes(): ByteArray = EMPTY

    override fun encode(event: ILoggingEvent): ByteArray = "${line(event)}\n".encodeToByteArray()

    private fun line(event: ILoggingEvent): JsonObject = buildJsonObject {
        put("time", JsonPrimitive(event.instant.toString()))
        if (event.level != Level.INFO) put("level", JsonPrimitive(event.level.toString()))
        put("message", JsonPrimitive(event.formattedMessage))
        event.keyValuePairs.orEmpty().forEach { put(it.key, json(it.value)) }
        event.throwableProxy?.let { put("exception", JsonPrimitive(ThrowableProxyUtil.asString(it))) }
    }

    private fun json(value: Any?): JsonElement = when (value) {
        null -> JsonNull
        is Number -> JsonPrimitive(value)
        is Boolean -> JsonPrimitive(value)
        is Map<*, *> -> JsonObject(value.entries.associate { (key, part) -> key.toString() to json(part) })
        is Iterable<*> -> JsonArray(value.map(::json))
        else -> JsonPrimitive(value.toString())
    }

    private companion object {
        val EMPTY = ByteArray(0)
    }
}
