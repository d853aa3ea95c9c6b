/*
 * The log line at the end of a call.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.model.CallHead

/** What a call met: [target] is the last one it ran on or waited for, [arrivals] how many targets it was sent to. */
internal data class CallEnd(
    val route: String,
    val workspace: String?,
    val target: String?,
    val arrivals: Int,
    val configuration: Long?,
)

/** Steady times in milliseconds; null for what did not happen. */
internal data class CallTimes(
    val arrivedAt: Long,
    val sentAt: Long?,
    val begunAt: Long?,
    val endedAt: Long,
) {
    val sentMs: Long? get() = sentAt?.let { it - arrivedAt }
    val headMs: Long? get() = begunAt?.let { it - arrivedAt }
    val ms: Long get() = endedAt - arrivedAt
}

/** Writes to [log] how [call] ended. */
internal fun logCallEnd(
    log: KLogger,
    call: CallHead,
    end: CallEnd,
    times: CallTimes,
    outcome: String,
) = log.event(
    Level.INFO,
    "call-ended",
    "call" to call.id,
    "route" to end.route,
    "workspace" to end.workspace,
    "adapter" to call.adapter?.toString(),
    "target" to end.target,
    "arrivals" to end.arrivals,
    "configuration" to end.configuration,
    "sentMs" to times.sentMs,
    "headMs" to times.headMs,
    "ms" to times.ms,
    "outcome" to outcome,
) { outcome }
