package org.berylpoint.entry.gateway.queue

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Runs tasks one after another on the threads that submit them. No thread waits for another one: a task that is
 * submitted while one runs, also by that one, runs after it on the same thread. So a task may call components that take
 * locks of their own or call back.
 */
internal class SerialTasks(private val onFailure: (Exception) -> Unit) {
    private val tasks = ConcurrentLinkedQueue<() -> Unit>()
    private val count = AtomicInteger()

    fun submit(task: () -> Unit) {
        tasks += task
        if (count.getAndIncrement() > 0) return
        do {
            val next = checkNotNull(tasks.poll())
            try {
                next()
            } catch (e: Exception) {
                onFailure(e)
            }
        } while (count.decrementAndGet() > 0)
    }
}
