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
)

/** Writes how [call] ended. */
internal fun KLogger.callEnded(
    call: CallHead,
    end: CallEnd,
    times: CallTimes,
    outcome: String,
) = event(
    Level.INFO,
    "call-ended",
    "call" to call.id,
    "route" to end.route,
    "workspace" to end.workspace,
    "adapter" to call.adapter?.toString(),
    "target" to end.target,
    "arrivals" to end.arrivals,
    "configuration" to end.configuration,
    "sentMs" to times.sentAt?.let { it - times.arrivedAt },
    "headMs" to times.begunAt?.let { it - times.arrivedAt },
    "ms" to times.endedAt - times.arrivedAt,
    "outcome" to outcome,
) { outcome }
