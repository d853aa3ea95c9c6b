/*
 * Applies what a target says of itself in a response: a limit of calls, that it leaves, or that it wants no calls for a while.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.gateway.target.AvailabilityChange
import io.skylarkstile.gateway.target.TargetState

private val log = KotlinLogging.logger {}

/** Status of a response by a target for which the call wasn't meant. */
internal const val MISDIRECTED = 421

/**
 * Applies the statements of [target] in the response [head] to the call [callId], which was sent at [sentAt]. A misdirected call was answered
 * by another target, which has its address now.
 */
internal fun RelayContext.observeStatements(
    target: TargetState,
    head: ResponseHead,
    sentAt: Long,
    callId: String,
) {
    val now = scheduler.now()
    if (head.status == MISDIRECTED) return
    permits.responseReceived(target, head, sentAt)
    if (head.hasMalformedStatement) metrics.recordMalformedStatement()
    val wasPaused = target.availability.isPaused(now)
    val change = target.availability.observe(head, now)
    if (change == AvailabilityChange.Leaving) {
        log.event(Level.INFO, "target-leaving", "target" to target.id, "call" to callId) { "target has said that it leaves" }
    } else if (change == AvailabilityChange.Paused && !wasPaused) {
        log.event(Level.INFO, "target-paused", "target" to target.id, "call" to callId, "pauseMs" to head.pauseMs) {
            "target wants no calls for a while"
        }
    }
}
