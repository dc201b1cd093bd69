package org.berylpoint.entry.gateway.server

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel
import java.util.PriorityQueue
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.concurrent.thread
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

private val logger = KotlinLogging.logger {}

/** What a [ServerEventLoop] calls on its thread when a channel is ready. */
internal interface ReadinessHandler {
    /** Handles the ready operations of [key]. An exception is passed to [onFailure]. */
    fun onReady(key: SelectionKey)

    fun onFailure(cause: IOException)
}

/** A task that runs once at [at], unless it was cancelled. */
internal class LoopTimer(val at: ComparableTimeMark, val task: () -> Unit) {
    var isCancelled = false
        private set

    fun cancel() {
        isCancelled = true
    }
}

/**
 * One thread that waits for all connections to servers at once.
 *
 * What belongs to a connection is only used on this thread, so that it needs no locks; other threads pass tasks to
 * [execute]. A thread for each request would cost a stack and two switches for each piece of a response.
 */
internal class ServerEventLoop(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) :
    AutoCloseable {
    private val selector = Selector.open()
    private val tasks = ConcurrentLinkedQueue<() -> Unit>()
    private val timers = PriorityQueue<LoopTimer>(compareBy { it.at })

    @Volatile
    private var isClosed = false

    /** Scratch space for one read or write at a time. */
    val buffer: ByteBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES)

    init {
        thread(name = "server-connections", isDaemon = true) { run() }
    }

    /** Runs [task] on the loop's thread, soon. */
    fun execute(task: () -> Unit) {
        tasks += task
        selector.wakeup()
    }

    /** Registers [channel] with [operations]. Only on the loop's thread, as is [schedule]. */
    fun register(channel: SocketChannel, operations: Int, handler: ReadinessHandler): SelectionKey =
        channel.register(selector, operations, handler)

    fun schedule(delay: Duration, task: () -> Unit): LoopTimer =
        LoopTimer(timeSource.markNow() + delay, task).also { timers += it }

    /** Ends the thread and closes all channels. */
    override fun close() {
        isClosed = true
        selector.wakeup()
    }

    private fun run() {
        while (!isClosed) {
            try {
                selector.select(::dispatch, millisToNextTimer())
                runTasks()
                runTimers()
            } catch (e: Exception) {
                logger.error(e) { "server: a task of the event loop failed" }
            }
        }
        selector.keys().forEach { it.channel().close() }
        selector.close()
    }

    private fun dispatch(key: SelectionKey) {
        val handler = key.attachment() as ReadinessHandler
        try {
            handler.onReady(key)
        } catch (e: IOException) {
            handler.onFailure(e)
        } catch (e: RuntimeException) {
            logger.error(e) { "server: a connection failed unexpectedly" }
            handler.onFailure(IOException("${e::class.simpleName}: ${e.message}", e))
        }
    }

    private fun runTasks() {
        while (true) tasks.poll()?.invoke() ?: return
    }

    private fun runTimers() {
        while (true) {
            val timer = nextTimer() ?: return
            if (timer.at.hasNotPassedNow()) return
            timers.remove()
            timer.task()
        }
    }

    /** Time to wait for readiness; 0, which waits for any length of time, without a timer. */
    private fun millisToNextTimer(): Long {
        val next = nextTimer() ?: return 0
        return (-next.at.elapsedNow()).inWholeMilliseconds.coerceAtLeast(0) + 1
    }

    private fun nextTimer(): LoopTimer? {
        while (timers.peek()?.isCancelled == true) timers.remove()
        return timers.peek()
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
    }
}
