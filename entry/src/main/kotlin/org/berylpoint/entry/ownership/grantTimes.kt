package org.berylpoint.entry.ownership

import org.berylpoint.peer.GrantRecord
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time from a grant to the latest start of its dispatch. */
internal val DISPATCH_START_TIMEOUT: Duration = 2.seconds

/** Time after the request's deadline at which its grant ends without a release. */
internal val GRANT_EXPIRY_MARGIN: Duration = 1.seconds

/** How long the grant may still last. */
internal val GrantRecord.endsWithin: Duration get() = endsWithinMillis.milliseconds

/** A record of [grant] that ends at [endsAt]. */
internal fun grantRecord(grant: Long, endsAt: ComparableTimeMark): GrantRecord =
    GrantRecord(grant, (-endsAt.elapsedNow()).inWholeMilliseconds.coerceAtLeast(GRANT_EXPIRY_MARGIN.inWholeMilliseconds))
