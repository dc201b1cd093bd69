package org.berylpoint.testkit.rig

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.CoroutineContext

/**
 * Runs a node's coroutines on [delegate], and holds them back while the node is paused.
 *
 * Timers that expire during a pause fire when it ends, as they do in a process that was stopped.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
public class PausableDispatcher(private val delegate: CoroutineDispatcher) :
    CoroutineDispatcher(),
    Delay {
    private val timers = delegate as Delay
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var isPaused = false

    /** Holds back everything from now on. */
    public fun pause() {
        isPaused = true
    }

    /** Runs what was held back, in order. */
    public fun resume() {
        isPaused = false
        while (held.isNotEmpty()) {
            val (context, block) = held.removeFirst()
            delegate.dispatch(context, gated(context, block))
        }
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (isPaused) held.addLast(context to block) else delegate.dispatch(context, gated(context, block))
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val wake = Runnable {
            dispatch(continuation.context) { with(continuation) { resumeUndispatched(Unit) } }
        }
        val handle = timers.invokeOnTimeout(timeMillis, wake, continuation.context)
        continuation.invokeOnCancellation { handle.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        timers.invokeOnTimeout(timeMillis, { dispatch(context, block) }, context)

    // A block that was queued before the pause must not run during it.
    private fun gated(context: CoroutineContext, block: Runnable) = Runnable {
        if (isPaused) held.addLast(context to block) else block.run()
    }
}
