package org.berylpoint.testkit.standin

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.ObjectStore
import org.berylpoint.platform.PlatformError
import java.util.concurrent.ConcurrentHashMap

/** The object store in memory. */
public class MemoryObjects(scope: CoroutineScope? = null, public val faults: Faults = Faults(scope)) : ObjectStore {
    private val objects = ConcurrentHashMap<String, String>()

    /** All objects, without faults and without counting. */
    public val content: Map<String, String> get() = objects.toMap()

    /** The store as [caller] sees it, with the faults set for that caller. */
    public fun caller(caller: InstanceId): ObjectStore = View(caller)

    override suspend fun get(name: String): Either<PlatformError, String?> = get(null, name)

    override suspend fun put(name: String, content: String): Either<PlatformError, Unit> = put(null, name, content)

    private suspend fun get(caller: InstanceId?, name: String): Either<PlatformError, String?> =
        faults.apply(StandInCall("get", false, caller)) { objects[name].right() }

    private suspend fun put(caller: InstanceId?, name: String, content: String): Either<PlatformError, Unit> =
        faults.apply(StandInCall("put", true, caller)) {
            objects[name] = content
            Unit.right()
        }

    private inner class View(private val caller: InstanceId) : ObjectStore {
        override suspend fun get(name: String) = get(caller, name)

        override suspend fun put(name: String, content: String) = put(caller, name, content)
    }
}
