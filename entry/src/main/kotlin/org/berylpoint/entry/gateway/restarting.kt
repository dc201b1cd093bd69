package org.berylpoint.entry.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs [task] again whenever it fails with an exception, and logs that under [name]. Without it, one unexpected input
 * would end a loop that the process needs, and the process would go on without it.
 */
internal suspend fun restarting(log: DecisionLog, name: String, task: suspend () -> Unit) {
    while (true) {
        try {
            return task()
        } catch (e: CancellationException) {
            throw e
        } catch (e: RuntimeException) {
            log.event("process", "a task failed and starts again", "task" to name, "cause" to e.toString())
        }
        delay(RESTART_DELAY)
    }
}

private val RESTART_DELAY = 500.milliseconds
