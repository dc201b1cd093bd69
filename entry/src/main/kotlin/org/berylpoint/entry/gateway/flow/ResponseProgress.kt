package org.berylpoint.entry.gateway.flow

/** How much of the response was sent to the caller, over all attempts. */
internal class ResponseProgress {
    var isResponseStarted = false
    var isUsageCounted = false

    /** Id of the last event that was sent to the caller; a further attempt continues after it. */
    var lastEventId: Long? = null

    /** Whether the last event that was sent has no id, so that no further attempt can continue after it. */
    var lastEventHasNoId = false

    /** Time from the arrival of the request to the first sign that a server runs it. */
    var firstEventMillis: Long? = null
}
