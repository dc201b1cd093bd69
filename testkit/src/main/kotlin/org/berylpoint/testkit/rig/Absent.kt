package org.berylpoint.testkit.rig

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendClient
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.entry.backend.ProbeFailure
import org.berylpoint.model.BackendServer
import org.berylpoint.model.RequestId
import org.berylpoint.platform.InstanceList
import org.berylpoint.platform.ListedInstance
import org.berylpoint.platform.ObjectStore
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.Row
import org.berylpoint.platform.RowKey
import org.berylpoint.platform.RowWrite
import org.berylpoint.platform.TableService
import kotlin.time.Duration

private val absent = PlatformError.Unavailable("absent")

/** A platform of which nothing can be reached, for tests that need none. */
public object AbsentPlatform : TableService, ObjectStore, InstanceList {
    override suspend fun get(key: RowKey): Either<PlatformError, Row?> = absent.left()

    override suspend fun query(partition: String, after: String, limit: Int): Either<PlatformError, List<Row>> =
        absent.left()

    override suspend fun transact(writes: List<RowWrite>): Either<PlatformError, Unit> = absent.left()

    override suspend fun get(name: String): Either<PlatformError, String?> = absent.left()

    override suspend fun put(name: String, content: String): Either<PlatformError, Unit> = absent.left()

    override suspend fun read(): Either<PlatformError, List<ListedInstance>> = absent.left()
}

/** Backend servers that all refuse connections, for tests that need none. */
public object AbsentBackends : BackendClient {
    override fun send(server: BackendServer, call: BackendCall): Flow<BackendEvent> =
        flowOf(BackendEvent.Broken(sent = false, detail = "absent"))

    override suspend fun probe(server: BackendServer, timeout: Duration): Either<ProbeFailure, Boolean> =
        ProbeFailure.Refused.left()

    override suspend fun exportKv(server: BackendServer, request: RequestId): String? = null

    override suspend fun importKv(server: BackendServer, handle: String): Boolean = false
}
