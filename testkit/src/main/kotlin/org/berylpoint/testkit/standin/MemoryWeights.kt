package org.berylpoint.testkit.standin

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import org.berylpoint.model.InstanceId
import org.berylpoint.platform.PlatformError
import org.berylpoint.platform.WeightStore
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** The weight store in memory: one download place every [interval]. */
public class MemoryWeights(
    private val time: TimeSource.WithComparableMarks,
    private val interval: Duration = 1.seconds,
    scope: CoroutineScope? = null,
    public val faults: Faults = Faults(scope),
) : WeightStore {
    private val lock = Any()
    private var nextFree: ComparableTimeMark = time.markNow()

    /** The store as [caller] sees it, with the faults set for that caller. */
    public fun caller(caller: InstanceId): WeightStore = object : WeightStore {
        override suspend fun acquire(name: String) = acquire(caller)
    }

    override suspend fun acquire(name: String): Either<PlatformError, Long> = acquire(null as InstanceId?)

    private suspend fun acquire(caller: InstanceId?): Either<PlatformError, Long> =
        faults.apply(StandInCall("acquire", true, caller)) {
            synchronized(lock) {
                val now = time.markNow()
                val start = maxOf(now, nextFree)
                nextFree = start + interval
                (start - now).inWholeMilliseconds.right()
            }
        }
}
