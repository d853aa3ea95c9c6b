/*
 * Graceful shutdown of an instance: callers are told to use other instances, then idle connections are closed, and running calls get the
 * remaining time to finish.
 */
package io.skylarkstile.gateway.main

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Time that callers need to get other addresses, in milliseconds; then idle connections are closed and new calls refused. */
private const val CALLER_MOVE_MS = 2_700L

/** Largest part of the grace that callers get to move, since the calls that come last need the rest to finish. */
private const val CALLER_MOVE_SHARE = 0.34

/** Time for the last responses to be sent, in milliseconds. */
private const val FLUSH_MS = 250L

/** Time reserved for the exit of the process, in milliseconds. */
private const val EXIT_MS = 500L
private const val POLL_MS = 50L

/**
 * Stops [gateway] within [graceMs] milliseconds and blocks until it has stopped, so it needs a thread of its own. [execute] runs actions on
 * the event loop.
 */
fun stopGracefully(
    gateway: Gateway,
    scheduler: Scheduler,
    graceMs: Long,
    execute: (() -> Unit) -> Unit,
) {
    val stopped = CountDownLatch(1)
    val moveMs = minOf(CALLER_MOVE_MS, (graceMs * CALLER_MOVE_SHARE).toLong())
    val callsEndMs = graceMs - EXIT_MS - FLUSH_MS
    execute {
        val leftAt = scheduler.now()
        gateway.beginDrain(leftAt + callsEndMs)

        fun poll() {
            val elapsed = scheduler.now() - leftAt
            if (elapsed >= moveMs) gateway.refuseCalls()
            val isIdle = elapsed >= moveMs && gateway.closeIdleConnections()
            if (isIdle || elapsed >= callsEndMs) {
                gateway.stopListening()
                gateway.stopCalls()
                scheduler.after(FLUSH_MS) { stopped.countDown() }
            } else {
                scheduler.after(POLL_MS, ::poll)
            }
        }
        poll()
    }
    stopped.await(graceMs, TimeUnit.MILLISECONDS)
}
