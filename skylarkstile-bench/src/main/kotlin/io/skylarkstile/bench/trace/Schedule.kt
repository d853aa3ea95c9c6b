/*
 * Actions that a scenario performs on the running fleet, with their times. Popularity shifts and greedy workspaces are part of the trace
 * instead.
 */
package io.skylarkstile.bench.trace

/** One action on the fleet. Engines and instances are indexes from 0. */
sealed interface FleetAction {
    /** The engines restart: they lose all loaded adapters and get a new boot id. */
    data class RestartEngines(
        val engines: List<Int>,
    ) : FleetAction

    /** Each load from the weight store takes [factor] times as long; 1.0 restores the normal speed. */
    data class SlowStore(
        val factor: Double,
    ) : FleetAction

    /** The instance is killed and not restarted. */
    data class KillInstance(
        val instance: Int,
    ) : FleetAction

    /** The object API is unavailable until a later action with [isOut] `false`. */
    data class PlatformOutage(
        val isOut: Boolean,
    ) : FleetAction

    /** The instance shuts down gracefully and restarts at the same addresses; the next action waits until it is ready. */
    data class ReplaceInstance(
        val instance: Int,
    ) : FleetAction
}

/** An action [atMs] milliseconds after the start of the trace. */
data class ScheduledAction(
    val atMs: Long,
    val action: FleetAction,
)

/** Number of groups into which the engines are divided; the engines of one group restart together. */
private const val RESTART_GROUPS = 4

/** Slowdown of the weight store; at four times the usual time per load it cannot sustain the usual load rate. */
private const val STORE_SLOWDOWN = 4.0

/** Returns the actions of [scenario] for a trace of [durationMs] milliseconds, in order of time. */
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

        Scenario.StoreSlowed -> listOf(at(1, FleetAction.SlowStore(STORE_SLOWDOWN)), at(3, FleetAction.SlowStore(1.0)))

        Scenario.InstanceLoss -> listOf(at(2, FleetAction.KillInstance(instances / 2)))

        Scenario.PlatformOutage -> listOf(at(1, FleetAction.PlatformOutage(true)), at(3, FleetAction.PlatformOutage(false)))

        Scenario.RollingReplacement -> {
            (0 until instances).map { ScheduledAction(durationMs * (it + 1) / (instances + 2), FleetAction.ReplaceInstance(it)) }
        }
    }
}

private const val QUARTERS = 4
