package org.berylpoint.entry.once

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.IdempotencyKey
import org.berylpoint.model.Instance
import org.berylpoint.model.InstanceId
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.Workspace
import org.berylpoint.peer.KeyOf
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import kotlin.time.ComparableTimeMark

/**
 * The record of one idempotency key, stored as the value of row `once/<workspace>/<key>`.
 *
 * [tenure] is the token of the write that made [holder] the holder; [step] is the token of the latest write. Both are
 * unique, so that a writer recognises its own writes when their responses were lost.
 */
@Serializable
internal data class OnceRecord(
    val holder: Instance,
    val epoch: Long,
    val tenure: String,
    val step: String,
    val request: RecordedRequest,
    val state: State = State.Accepted,
) {
    @Serializable
    sealed interface State {
        @Serializable
        data object Accepted : State

        /** The request may have reached [server] and must not be dispatched again. */
        @Serializable
        data class Dispatched(val server: BackendServerId) : State

        /** The request was answered. [body] is null if the answer was too large for a row. */
        @Serializable
        data class Done(val status: Int, val contentType: String, val body: String?) : State

        /** The request was dispatched, and its outcome can't be determined. */
        @Serializable
        data object Unknown : State

        /**
         * The request did not run and will not run; the key may be used again. The row is kept, so that a delayed
         * conditional write of the holder fails.
         */
        @Serializable
        data object Released : State
    }

    fun encode(): String = json.encodeToString(serializer(), this)

    companion object {
        private val json = Json { encodeDefaults = false }

        fun decode(row: Row): OnceRecord = json.decodeFromString(serializer(), row.value)

        fun keyOf(key: KeyOf): RowKey = RowKey("once/${key.workspace}", key.key.value)

        /** The partition of the index rows for the unfinished keys of [holder]. */
        fun indexPartition(holder: InstanceId): String = "accepted/$holder"

        fun indexKeyOf(holder: InstanceId, key: KeyOf): RowKey {
            // Escaping keeps the index rows of different pairs of workspace and key distinct.
            val workspace = key.workspace.name.replace("%", "%25").replace("/", "%2F")
            return RowKey(indexPartition(holder), "$workspace/${key.key}")
        }

        fun encodeIndex(key: KeyOf): String = json.encodeToString(KeyOf.serializer(), key)

        fun decodeIndex(row: Row): KeyOf = json.decodeFromString(KeyOf.serializer(), row.value)
    }
}

/** The stored form of a request, from which another instance can run it. */
@Serializable
internal data class RecordedRequest(
    val id: RequestId,
    val workspace: Workspace,
    val requestClass: RequestClass,
    val kind: ServiceKind,
    val method: String,
    val path: String,
    val contentType: String,
    val body: String,
    val key: IdempotencyKey,
    val stream: Boolean,
    val fingerprint: Fingerprint,
) {
    /** Whether [request] is a repeat of this one: the same body, method and path. */
    fun matches(request: ServeRequest): Boolean =
        fingerprint == request.fingerprint && method == request.method && path == request.path

    fun toRequest(deadline: ComparableTimeMark): ServeRequest = ServeRequest(
        id = id,
        workspace = workspace,
        requestClass = requestClass,
        kind = kind,
        method = method,
        path = path,
        contentType = contentType,
        body = body,
        idempotencyKey = key,
        deadline = deadline,
        stream = stream,
        fingerprint = fingerprint,
    )

    companion object {
        fun of(request: ServeRequest, key: IdempotencyKey): RecordedRequest = RecordedRequest(
            id = request.id,
            workspace = request.workspace,
            requestClass = request.requestClass,
            kind = request.kind,
            method = request.method,
            path = request.path,
            contentType = request.contentType,
            body = request.body,
            key = key,
            stream = request.stream,
            fingerprint = request.fingerprint,
        )
    }
}
