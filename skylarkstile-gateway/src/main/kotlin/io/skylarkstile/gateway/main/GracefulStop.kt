/*
 * The end of an instance: callers are told to go elsewhere, then idle connections close, and running calls get the time that is left.
 */
package io.skylarkstile.gateway.main

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Callers need this long to learn other addresses; then idle connections close and new calls are refused, in milliseconds. */
private const val MOVE_MS = 2_700L

/** Time for the last answers to leave, in milliseconds. */
private const val FLUSH_MS = 250L

/** Time kept for the end of the process itself, in milliseconds. */
private const val EXIT_MS = 500L
private const val LOOK_MS = 50L

/** Stops [gateway] within [graceMs] milliseconds; returns when it has stopped. Called on a thread of its own. */
fun stopGracefully(
    gateway: Gateway,
    scheduler: Scheduler,
    graceMs: Long,
    execute: (() -> Unit) -> Unit,
) {
    val stopped = CountDownLatch(1)
    execute {
        val leftAt = scheduler.now()
        gateway.leave()

        fun look() {
            val elapsed = scheduler.now() - leftAt
            if (elapsed >= MOVE_MS) gateway.refuseCalls()
            val isIdle = elapsed >= MOVE_MS && gateway.closeIdle()
            if (isIdle || elapsed >= graceMs - EXIT_MS - FLUSH_MS) {
                gateway.stopListening()
                gateway.stopCalls()
                scheduler.after(FLUSH_MS) { stopped.countDown() }
            } else {
                scheduler.after(LOOK_MS, ::look)
            }
        }
        look()
    }
    stopped.await(graceMs, TimeUnit.MILLISECONDS)
}
