package org.berylpoint.entry.http

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestId

/** Media type of RFC 9457. */
internal const val PROBLEM_JSON = "application/problem+json"

/** This problem as an RFC 9457 object with the extension members `kind`, `ran` and `requestId`. */
internal fun Problem.toJson(request: RequestId): String = buildJsonObject {
    put("type", "about:blank")
    put("title", kind.title)
    put("status", kind.status)
    put("detail", detail)
    put("kind", kind.name)
    put("ran", runState.wireName)
    put("requestId", request.value)
}.toString()
