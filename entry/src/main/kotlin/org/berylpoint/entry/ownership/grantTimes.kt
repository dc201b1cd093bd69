package org.berylpoint.entry.ownership

import org.berylpoint.peer.GrantRecord
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time after a grant within which its dispatch must start. */
internal val DISPATCH_START_TIMEOUT: Duration = 2.seconds

/** Time after the request's deadline at which an unreleased grant expires. */
internal val GRANT_EXPIRY_MARGIN: Duration = 1.seconds

/** Remaining time until the grant expires. */
internal val GrantRecord.endsWithin: Duration get() = endsWithinMillis.milliseconds

/** Returns the record of [grant], which expires at [endsAt]; the remaining time is at least [GRANT_EXPIRY_MARGIN]. */
internal fun grantRecord(grant: Long, endsAt: ComparableTimeMark): GrantRecord {
    val remainingMillis = (-endsAt.elapsedNow()).inWholeMilliseconds
    return GrantRecord(grant, remainingMillis.coerceAtLeast(GRANT_EXPIRY_MARGIN.inWholeMilliseconds))
}
