package org.berylpoint.testkit.load

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** The text that a chat completion chunk adds to the answer; null when it adds none. */
internal fun chunkText(data: String): String? {
    if (data == "[DONE]") return null
    val choice = Json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.firstOrNull()?.jsonObject
    return choice?.get("delta")?.jsonObject?.get("content")?.jsonPrimitive?.contentOrNull
}
