package org.berylpoint.entry.http

import io.javalin.http.Context
import kotlinx.serialization.json.JsonElement
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestId

/** Answers with [problem] in the shape of RFC 9457. */
internal fun Context.respondWithProblem(problem: Problem, request: RequestId) {
    status(problem.kind.status).contentType(PROBLEM_JSON).result(problem.toJson(request))
}

/** Answers with [body]; Javalin's own `json` would go through a second JSON library. */
internal fun Context.respondWithJson(body: JsonElement) {
    contentType("application/json").result(body.toString())
}
