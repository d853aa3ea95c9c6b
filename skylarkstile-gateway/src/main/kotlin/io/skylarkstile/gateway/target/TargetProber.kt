/*
 * Probes suspected targets, so that no caller's request is needed to find out whether they are reachable again.
 */
package io.skylarkstile.gateway.target

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event

private val log = KotlinLogging.logger {}

/** Pause after an unanswered probe, in milliseconds; it doubles up to the maximum, since each probe costs money. */
private const val INITIAL_PAUSE_MS = 200L
private const val MAX_PAUSE_MS = 1_600L

/** A target that was silent for at least this long may have been started anew, in milliseconds. */
private const val SHORTEST_RESTART_MS = 1_000L

/** Sends a probe to a target and reports whether it responded. */
fun interface TargetProbe {
    fun send(
        target: TargetState,
        done: (Boolean) -> Unit,
    )
}

/** Probes the suspected [targets]; calls [onUnresponsive] after each probe that is not answered. Not thread-safe. */
class TargetProber(
    private val targets: TargetTable,
    private val probe: TargetProbe,
    private val now: () -> Long,
    private val onUnresponsive: (TargetState) -> Unit,
) {
    private class ProbeState(
        val target: TargetState,
        val suspectedAt: Long,
    ) {
        var isInFlight = false
        var nextAt = 0L
        var pauseMs = INITIAL_PAUSE_MS
    }

    private val suspects = HashMap<String, ProbeState>()

    /** Sends the probes that are due; must be called regularly. */
    fun tick(now: Long) {
        suspects.values.removeIf { targets[it.target.id] !== it.target || !isProbed(it.target, now) }
        targets.all.filter { isProbed(it, now) }.forEach { target ->
            val probeState = suspects.getOrPut(target.id) { begin(target, now) }
            if (!probeState.isInFlight && now >= probeState.nextAt) send(probeState)
        }
    }

    private fun respondsAgain(
        probeState: ProbeState,
        now: Long,
    ) {
        val target = probeState.target
        target.recordActivity(now)
        if (now - probeState.suspectedAt >= SHORTEST_RESTART_MS) target.callLimit.cold.assumeStarted(now)
        suspects.remove(target.id, probeState)
    }

    private fun isProbed(
        target: TargetState,
        now: Long,
    ): Boolean = !target.isEvacuated && target.isSuspected(now)

    private fun begin(
        target: TargetState,
        now: Long,
    ): ProbeState {
        target.health.markSuspect()
        log.event(
            Level.INFO,
            "target-suspected",
            "target" to target.id,
            "calls" to target.ownWeight.calls,
        ) { "target has sent nothing or can't be reached, probing it" }
        return ProbeState(target, now)
    }

    private fun send(probeState: ProbeState) {
        probeState.isInFlight = true
        probe.send(probeState.target) { hasResponded ->
            val now = now()
            probeState.isInFlight = false
            if (hasResponded) {
                log.event(Level.INFO, "target-heard", "target" to probeState.target.id) { "suspected target responds again" }
                respondsAgain(probeState, now)
            } else {
                probeState.nextAt = now + probeState.pauseMs
                probeState.pauseMs = minOf(probeState.pauseMs * 2, MAX_PAUSE_MS)
                if (probeState.target.isSuspected(now)) onUnresponsive(probeState.target)
            }
        }
    }
}
