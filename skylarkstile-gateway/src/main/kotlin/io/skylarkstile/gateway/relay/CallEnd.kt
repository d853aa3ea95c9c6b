/*
 * Writes the log line that summarizes a finished call.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.model.CallHead

/** Summarizes a finished call: [target] is the last one it was sent to or waited for, [sends] counts the targets it was sent to. */
internal data class CallEnd(
    val route: String,
    val workspace: String?,
    val target: String?,
    val sends: Int,
    val configuration: Long?,
)

/** Holds monotonic timestamps in milliseconds; a step that did not happen is null. */
internal data class CallTimes(
    val arrivedAt: Long,
    val sentAt: Long?,
    val responseStartedAt: Long?,
    val endedAt: Long,
) {
    val sentMs: Long? get() = sentAt?.let { it - arrivedAt }
    val headMs: Long? get() = responseStartedAt?.let { it - arrivedAt }
    val totalMs: Long get() = endedAt - arrivedAt
}

/** Logs the outcome of [call]. */
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
    "arrivals" to end.sends,
    "configuration" to end.configuration,
    "sentMs" to times.sentMs,
    "headMs" to times.headMs,
    "ms" to times.totalMs,
    "outcome" to outcome,
) { outcome }
