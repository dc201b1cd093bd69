package org.berylpoint.entry.http

import io.javalin.http.Context
import kotlinx.serialization.json.JsonElement
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestId

/** Responds with [problem] as an RFC 9457 object. */
internal fun Context.respondWithProblem(problem: Problem, request: RequestId) {
    status(problem.kind.status).contentType(PROBLEM_JSON).result(problem.toJson(request))
}

/** Responds with [body]. Javalin's own `json` would need a second JSON library. */
internal fun Context.respondWithJson(body: JsonElement) {
    contentType("application/json").result(body.toString())
}
