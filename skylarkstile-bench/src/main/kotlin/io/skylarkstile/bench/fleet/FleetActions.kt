/*
 * Performs the scheduled actions of a scenario on a running site.
 */
package io.skylarkstile.bench.fleet

import io.skylarkstile.bench.trace.FleetAction
import io.skylarkstile.bench.trace.ScheduledAction
import kotlinx.coroutines.delay

/** Performs actions on [site] and reports each one to [log] when it begins. */
class FleetActions(
    private val site: SiteFleet,
    private val meter: FleetMeter,
    private val log: (String) -> Unit,
) {
    /** Performs the actions of [schedule], whose times are relative to the call. */
    suspend fun run(schedule: List<ScheduledAction>) {
        val start = System.nanoTime()
        for (scheduled in schedule) {
            delay(scheduled.atMs - (System.nanoTime() - start) / NANOS_PER_MS)
            log("at ${(System.nanoTime() - start) / NANOS_PER_MS} ms: ${scheduled.action}")
            perform(scheduled.action)
        }
    }

    private suspend fun perform(action: FleetAction) = when (action) {
        is FleetAction.RestartEngines -> action.engines.forEach { site.engines[it].control.set("""{"action":"restart"}""") }
        is FleetAction.SlowStore -> site.weights.set("""{"slowness":${action.factor}}""")
        is FleetAction.KillInstance -> kill(site.entries[action.instance])
        is FleetAction.PlatformOutage -> site.fleet.objects.set("""{"outage":"${if (action.isOut) "unavailable" else "none"}"}""")
        is FleetAction.ReplaceInstance -> replace(site.entries[action.instance])
    }

    private suspend fun kill(entry: EntryInstance) {
        meter.beforeStop(entry)
        entry.process.kill()
    }

    private suspend fun replace(entry: EntryInstance) {
        meter.beforeStop(entry)
        entry.process.terminate()
        checkNotNull(entry.process.awaitExitOrNull(EXIT_TIMEOUT_MS)) { "${entry.name} did not end within $EXIT_TIMEOUT_MS ms of SIGTERM" }
        entry.process.start().awaitReady(READY_TIMEOUT_MS)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L

        /** Covers the drain time of an instance and its leaving of the cluster, with a margin. */
        const val EXIT_TIMEOUT_MS = 60_000L
        const val READY_TIMEOUT_MS = 60_000L
    }
}
