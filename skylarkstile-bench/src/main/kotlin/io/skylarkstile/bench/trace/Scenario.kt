/*
 * Scenarios of a run: changes of the load, and faults or maintenance of the fleet.
 */
package io.skylarkstile.bench.trace

/** A scenario. The first group changes the trace or the callers, the second group acts on the fleet through [scheduleOf]. */
enum class Scenario(
    val text: String,
) {
    Steady("steady"),
    PopularityShift("popularity-shift"),
    GreedyWorkspace("greedy-workspace"),
    MovingCallers("moving-callers"),

    EngineRestarts("engine-restarts"),
    StoreSlowed("store-slowed"),
    InstanceLoss("instance-loss"),
    PlatformOutage("platform-outage"),
    RollingReplacement("rolling-replacement"),
}

/** Returns the scenario with the command-line name [text], or `null`. */
fun scenarioOrNull(text: String): Scenario? = Scenario.entries.firstOrNull { it.text == text }
