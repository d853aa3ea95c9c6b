/*
 * Time and timers of the event loop. All state of an instance lives on one loop: its machines have one core, and no locks are needed.
 */
package io.skylarkstile.gateway.main

import io.netty.channel.EventLoop
import java.util.concurrent.TimeUnit

/** Gives the steady time in milliseconds and runs actions later on the event loop. */
interface Scheduler {
    fun now(): Long

    /** Runs [action] after [delayMs] milliseconds unless the returned timer is cancelled. */
    fun after(
        delayMs: Long,
        action: () -> Unit,
    ): Timer
}

/** A pending action. */
fun interface Timer {
    fun cancel()
}

/** Creates the scheduler of [loop]. */
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
