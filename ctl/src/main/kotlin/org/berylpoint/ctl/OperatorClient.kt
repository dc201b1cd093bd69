package org.berylpoint.ctl

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import org.berylpoint.model.AcceptedVersion
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueFault
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.MoveReport
import org.berylpoint.model.StatusReport
import java.io.IOException
import java.net.ConnectException
import java.time.Duration

/** Calls the first of [addresses] that can be reached; without an Authorization header if [token] is empty. */
internal class OperatorClient(private val addresses: List<String>, private val token: String, timeout: Duration) {
    private val http = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .connectTimeout(CONNECT_TIMEOUT)
        .callTimeout(timeout)
        // The call's timeout bounds these; a commit may take longer than their default of 10 s.
        .readTimeout(Duration.ZERO)
        .writeTimeout(Duration.ZERO)
        .build()

    fun catalogue(): Either<CallFailure, Catalogue> = get("/operator/catalogue")

    fun status(ask: Boolean): Either<CallFailure, StatusReport> = get("/operator/status", "ask" to "$ask")

    fun moves(): Either<CallFailure, List<MoveReport>> = get("/operator/moves")

    fun dump(instance: String?, component: String?): Either<CallFailure, JsonElement> =
        get("/operator/dump", "instance" to instance, "component" to component)

    /** The state dump that an instance of `berylpoint serve` has on its metrics address. */
    fun serveDump(): Either<CallFailure, ServeDump> = get("/dump")

    /** Commits [update]; the accepted version. */
    fun submit(update: CatalogueUpdate): Either<CallFailure, Long> = either {
        val body = json.encodeToString(CatalogueUpdate.serializer(), update)
        decode<AcceptedVersion>(send("/operator/catalogue", emptyList(), body).bind()).bind().version
    }

    private inline fun <reified T> get(path: String, vararg query: Pair<String, String?>): Either<CallFailure, T> =
        either { decode<T>(send(path, query.toList(), null).bind()).bind() }

    private inline fun <reified T> decode(body: String): Either<CallFailure, T> = try {
        json.decodeFromString<T>(body).right()
    } catch (e: SerializationException) {
        CallFailure(ExitCode.FAILED, "the answer can't be read: ${e.message}").left()
    }

    /** Calls one address after the other until one answers. */
    private fun send(path: String, query: List<Pair<String, String?>>, body: String?): Either<CallFailure, String> {
        val failures = mutableListOf<String>()
        for (address in addresses) {
            val request = request(address + path, query, body)
                ?: return CallFailure(ExitCode.USAGE, "'$address' is no address, expected http://IP:PORT").left()
            try {
                return http.newCall(request).execute().use(::read)
            } catch (e: ConnectException) {
                failures += "$address: ${e.message}"
            } catch (e: IOException) {
                // Only a refused connection proves that nothing was sent.
                if (body != null) return unknown(address, e).left()
                failures += "$address: ${e.message}"
            }
        }
        return CallFailure(ExitCode.UNAVAILABLE, "no instance can be reached: ${failures.joinToString("; ")}").left()
    }

    private fun read(answer: Response): Either<CallFailure, String> {
        val text = answer.body.string()
        return if (answer.isSuccessful) text.right() else failure(answer.code, text).left()
    }

    private fun request(url: String, query: List<Pair<String, String?>>, body: String?): Request? {
        val target = url.toHttpUrlOrNull()?.newBuilder() ?: return null
        query.forEach { (name, value) -> if (value != null) target.addQueryParameter(name, value) }
        val request = Request.Builder().url(target.build())
        if (token.isNotEmpty()) request.header("Authorization", "Bearer $token")
        if (body != null) request.post(body.toRequestBody())
        return request.build()
    }

    private fun unknown(address: String, e: IOException) =
        CallFailure(ExitCode.UNKNOWN, "$address: ${e.message}; the change may be in force")

    private fun failure(status: Int, body: String): CallFailure = try {
        val problem = json.decodeFromString<ProblemBody>(body)
        CallFailure(ExitCode.of(problem.kind), "${problem.kind}: ${problem.detail}", problem.faults.asIterable())
    } catch (e: SerializationException) {
        CallFailure(ExitCode.FAILED, "status $status without a problem: ${e.message}")
    }

    @Serializable
    private class ProblemBody(
        val kind: ErrorKind,
        val detail: String = "",
        val faults: List<CatalogueFault> = emptyList(),
    )

    companion object {
        private val CONNECT_TIMEOUT = Duration.ofSeconds(2)
        val json = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }
    }
}
