package org.berylpoint.testkit.standin

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService

/** Rows in one page of a query. A real service ends pages at 1 MB; a small number exercises the reader's paging. */
internal const val QUERY_PAGE_ROWS = 50

/** An HTTP answer: status and JSON body. */
internal data class JsonReply(val status: Int, val body: String)

/**
 * Carries out one call of DynamoDB's JSON protocol on this table. Knows the expressions that
 * [org.berylpoint.platform.http.HttpTableService] sends and refuses others.
 */
internal suspend fun TableService.serveDynamo(operation: String, body: String): JsonReply {
    val request = Json.parseToJsonElement(body).jsonObject
    return when (operation) {
        "GetItem" -> get(request.key()).fold({ it.toReply() }, { row ->
            JsonReply(200, buildJsonObject { row?.let { putJsonObject("Item") { putRow(it) } } }.toString())
        })
        "Query" -> serveQuery(request)
        "TransactWriteItems" -> {
            val writes = try {
                request.getValue("TransactItems").jsonArray.map { it.jsonObject.toWrite() }
            } catch (e: IllegalArgumentException) {
                return error("ValidationException", e.message.orEmpty())
            }
            transact(writes).fold({ it.toReply(writes.size) }, { JsonReply(200, "{}") })
        }
        else -> error("UnknownOperationException", operation)
    }
}

private suspend fun TableService.serveQuery(request: JsonObject): JsonReply {
    val values = request.getValue("ExpressionAttributeValues").jsonObject
    val start = request["ExclusiveStartKey"]?.jsonObject?.text("sk") ?: values.textOrNull(":after").orEmpty()
    val limit = minOf(request["Limit"]?.jsonPrimitive?.content?.toInt() ?: QUERY_PAGE_ROWS, QUERY_PAGE_ROWS)
    return query(values.text(":pk"), start, limit).fold({ it.toReply() }, { rows ->
        val answer = buildJsonObject {
            putJsonArray("Items") { rows.forEach { addJsonObject { putRow(it) } } }
            put("Count", rows.size)
            if (rows.size == limit) putJsonObject("LastEvaluatedKey") { putKey(rows.last().key) }
        }
        JsonReply(200, answer.toString())
    })
}

private fun JsonObject.toWrite(): RowWrite {
    val (action, content) = entries.single().let { it.key to it.value.jsonObject }
    val expected = when (val condition = content["ConditionExpression"]?.jsonPrimitive?.content) {
        null -> null
        "attribute_not_exists(pk)" -> 0L
        "ver = :expected" -> content.values().getValue(
            ":expected",
        ).jsonObject.getValue("N").jsonPrimitive.content.toLong()
        else -> throw IllegalArgumentException("unsupported condition: $condition")
    }
    return when (action) {
        "Update" -> {
            val update = content.getValue("UpdateExpression").jsonPrimitive.content
            require(update == "SET val = :val ADD ver :one") { "unsupported update: $update" }
            RowWrite.Put(content.key(), content.values().text(":val"), expected)
        }
        "Delete" -> RowWrite.Delete(content.key(), expected)
        "ConditionCheck" -> RowWrite.Check(content.key(), requireNotNull(expected) { "a check needs a condition" })
        else -> throw IllegalArgumentException("unsupported action: $action")
    }
}

private fun PlatformError.toReply(writes: Int = 0): JsonReply = when (this) {
    // A refusal for load is the protocol's error that is certain to precede any effect.
    is PlatformError.Unavailable -> error("ThrottlingException", detail)
    is PlatformError.NoAnswer -> JsonReply(504, "")
    is PlatformError.Invalid -> error("ValidationException", detail)
    is PlatformError.ConditionFailed -> error("TransactionCanceledException", "condition failed") {
        putJsonArray("CancellationReasons") {
            repeat(writes) { i -> addJsonObject { put("Code", if (i in failed) "ConditionalCheckFailed" else "None") } }
        }
    }
}

private fun error(type: String, message: String, more: JsonObjectBuilder.() -> Unit = {}): JsonReply {
    val body = buildJsonObject {
        put("__type", "com.amazonaws.dynamodb.v20120810#$type")
        put("message", message)
        more()
    }
    return JsonReply(400, body.toString())
}

private fun JsonObject.values(): JsonObject = getValue("ExpressionAttributeValues").jsonObject

private fun JsonObject.key(): RowKey = getValue("Key").jsonObject.let { RowKey(it.text("pk"), it.text("sk")) }

private fun JsonObject.text(name: String): String = requireNotNull(textOrNull(name)) { "no string $name" }

private fun JsonObject.textOrNull(name: String): String? = get(name)?.jsonObject?.get("S")?.jsonPrimitive?.content

private fun JsonObjectBuilder.putKey(key: RowKey) {
    putJsonObject("pk") { put("S", key.partition) }
    putJsonObject("sk") { put("S", key.sort) }
}

private fun JsonObjectBuilder.putRow(row: Row) {
    putKey(row.key)
    putJsonObject("ver") { put("N", row.version.toString()) }
    putJsonObject("val") { put("S", row.value) }
}
