/*
 * Time and timers of the event loop. All state of an instance is confined to one loop, since its machines have one core; so no locks are
 * needed.
 */
package io.skylarkstile.gateway.main

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Provides a monotonic clock in milliseconds and runs delayed actions on the event loop. */
interface Scheduler {
    fun now(): Long

    /** Runs [action] after [delayMs] milliseconds unless the returned timer is cancelled. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ): Timer
}

/** Represents a scheduled action. */
fun interface Timer {
    fun cancel()
}

/** Creates a scheduler that runs actions on [loop]. */
fun loopScheduler(loop: EventLoop): Scheduler = LoopScheduler(loop)

private class LoopScheduler(
    private val loop: EventLoop,
) : Scheduler {
    override fun now(): Long = System.nanoTime() / NANOS_PER_MS

    override fun after(
        delayMs: Long,
        action: () -> Unit,
    ): Timer {
        val future = loop.schedule(action, delayMs, TimeUnit.MILLISECONDS)
        return Timer { future.cancel(false) }
    }
}

private const val NANOS_PER_MS = 1_000_000L
