/*
 * Asks silent targets for a sign of life, so that no caller's request has to find out whether they are back.
 */
package io.skylarkstile.gateway.target

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event

private val log = KotlinLogging.logger {}

/** Pause after a probe without an answer, in milliseconds; it doubles up to the longest one, since each probe is priced. */
private const val FIRST_PAUSE_MS = 200L
private const val LONGEST_PAUSE_MS = 1_600L

/** Sends a probe to a target and tells whether anything came back. */
fun interface TargetProbe {
    fun send(
        target: TargetState,
        done: (Boolean) -> Unit,
    )
}

/** Probes the suspects among [targets]; [onDead] is told of each one that doesn't answer. Not thread-safe. */
class TargetProbes(
    private val targets: TargetTable,
    private val probe: TargetProbe,
    private val now: () -> Long,
    private val onDead: (TargetState) -> Unit,
) {
    private class Probing(
        val target: TargetState,
    ) {
        var isUnderWay = false
        var nextAt = 0L
        var pauseMs = FIRST_PAUSE_MS
    }

    private val suspects = HashMap<String, Probing>()

    /** Sends the probes that are due. Called regularly. */
    fun tick(now: Long) {
        suspects.values.removeIf { targets[it.target.id] !== it.target || !it.target.isAvoided(now) }
        targets.all.filter { it.isAvoided(now) }.forEach { target ->
            val probing = suspects.getOrPut(target.id) { begin(target) }
            if (!probing.isUnderWay && now >= probing.nextAt) send(probing)
        }
    }

    private fun begin(target: TargetState): Probing {
        target.health.suspect()
        log.event(
            Level.INFO,
            "target-suspected",
            "target" to target.id,
            "calls" to target.ownWeight.calls,
        ) { "nothing is heard from a target" }
        return Probing(target)
    }

    private fun send(probing: Probing) {
        probing.isUnderWay = true
        probe.send(probing.target) { isHeard ->
            val now = now()
            probing.isUnderWay = false
            if (isHeard) {
                log.event(Level.INFO, "target-heard", "target" to probing.target.id) { "a suspected target answers" }
                probing.target.heard(now)
                suspects.remove(probing.target.id, probing)
            } else {
                probing.nextAt = now + probing.pauseMs
                probing.pauseMs = minOf(probing.pauseMs * 2, LONGEST_PAUSE_MS)
                if (probing.target.isAvoided(now)) onDead(probing.target)
            }
        }
    }
}
