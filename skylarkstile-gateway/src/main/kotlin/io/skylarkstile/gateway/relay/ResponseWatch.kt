/*
 * Watches whether a target begins to respond to a call in time, and whether what it sends instead goes on.
 */
package io.skylarkstile.gateway.relay

import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.main.Timer
import kotlin.math.max

/** Multiple of the route's target latency after which a response counts as missing and a repeatable call tries another target. */
private const val RESPONSE_TIMEOUT_LATENCIES = 2.0
private const val MIN_RESPONSE_TIMEOUT_MS = 250L

/** Receives what a [ResponseWatch] finds. */
internal interface ResponseWatchListener {
    /** The response hasn't begun within [timeoutMs]; returns whether the call still waits for it. */
    fun responseMissing(timeoutMs: Long): Boolean

    /** An incomplete response to another call has arrived, in which the response may lie, and nothing more arrives. */
    fun otherResponseIncomplete()
}

/** Watches the response to the call in flight on [connection]; runs on the event loop. */
internal class ResponseWatch(
    private val scheduler: Scheduler,
    private val connection: TargetConnection,
    targetLatencyMs: Long,
    private val listener: ResponseWatchListener,
) {
    private val timeoutMs = max(MIN_RESPONSE_TIMEOUT_MS, (targetLatencyMs * RESPONSE_TIMEOUT_LATENCIES).toLong())
    private var timer: Timer? = null

    /** Starts watching, as the request is being sent. */
    fun start() {
        timer = scheduler.after(timeoutMs) { if (listener.responseMissing(timeoutMs)) watchOtherResponse() }
    }

    /** Ends the watch, because the response has begun or the attempt is over. */
    fun stop() {
        timer?.cancel()
    }

    private fun watchOtherResponse(receivedBefore: Long? = null) {
        val received = connection.receivedBytes
        if (connection.isInsideOtherResponse && received == receivedBefore) return listener.otherResponseIncomplete()
        timer = scheduler.after(MIN_RESPONSE_TIMEOUT_MS) { watchOtherResponse(received) }
    }
}
