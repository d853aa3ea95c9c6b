/*
 * What happens during a run besides steady load.
 */
package io.skylarkstile.bench.trace

/** Events of a run. The first group changes the trace or its callers, the second group acts on the fleet by [scheduleOf]. */
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

/** Returns the scenario called [text], or `null`. */
fun scenarioOrNull(text: String): Scenario? = Scenario.entries.firstOrNull { it.text == text }
