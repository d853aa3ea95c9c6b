/*
 * When a scenario interferes with the running fleet. The trace itself already contains popularity shifts and greedy workspaces.
 */
package io.skylarkstile.bench.trace

/** One interference. Engines and instances are counted from 0. */
sealed interface FleetAction {
    /** The engines lose all that they hold and get a new boot id. */
    data class RestartEngines(
        val engines: List<Int>,
    ) : FleetAction

    /** Each load from the weight store takes [factor] times as long. */
    data class SlowStore(
        val factor: Double,
    ) : FleetAction

    /** The instance is killed and stays away. */
    data class KillInstance(
        val instance: Int,
    ) : FleetAction

    /** The object API answers nothing until an event with [isOut] false. */
    data class PlatformOutage(
        val isOut: Boolean,
    ) : FleetAction

    /** The instance gets a graceful shutdown and starts again at its addresses; the next event waits until it is ready. */
    data class ReplaceInstance(
        val instance: Int,
    ) : FleetAction
}

/** An action [atMs] milliseconds after the start of the trace. */
data class ScheduledAction(
    val atMs: Long,
    val action: FleetAction,
)

/** Engines that restart together, as a part of all. */
private const val RESTART_GROUPS = 4

/** The store's slowness; at four times the time per load it sustains less than the usual rate of loads. */
private const val STORE_FACTOR = 4.0

/** Returns the actions of [scenario] in order of time for a trace of [durationMs] milliseconds. */
fun scheduleOf(
    scenario: Scenario,
    durationMs: Long,
    engines: Int,
    instances: Int,
): List<ScheduledAction> {
    fun at(
        quarters: Int,
        action: FleetAction,
    ) = ScheduledAction(durationMs * quarters / QUARTERS, action)
    return when (scenario) {
        Scenario.Steady, Scenario.PopularityShift, Scenario.GreedyWorkspace, Scenario.MovingCallers -> emptyList()

        Scenario.EngineRestarts -> {
            (1 until QUARTERS).map { q -> at(q, FleetAction.RestartEngines((0 until engines).filter { it % RESTART_GROUPS == q - 1 })) }
        }

        Scenario.StoreSlowed -> listOf(at(1, FleetAction.SlowStore(STORE_FACTOR)), at(3, FleetAction.SlowStore(1.0)))

        Scenario.InstanceLoss -> listOf(at(2, FleetAction.KillInstance(instances / 2)))

        Scenario.PlatformOutage -> listOf(at(1, FleetAction.PlatformOutage(true)), at(3, FleetAction.PlatformOutage(false)))

        Scenario.RollingReplacement -> {
            (0 until instances).map { ScheduledAction(durationMs * (it + 1) / (instances + 2), FleetAction.ReplaceInstance(it)) }
        }
    }
}

private const val QUARTERS = 4
