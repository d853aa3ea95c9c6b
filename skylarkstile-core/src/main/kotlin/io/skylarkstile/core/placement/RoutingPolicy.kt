/*
 * Routing policies selectable by a setting; all except [AdapterAwarePolicy] are baselines for measurements. Every policy ranks targets with
 * an unreachable owner last, so that a comparison of policies does not measure failed attempts.
 */
package io.skylarkstile.core.placement

import io.skylarkstile.schema.generated.TargetSettings
import kotlin.random.Random

/** Ranks the targets for a request. */
interface RoutingPolicy {
    /** Value of the setting `target.policy` that selects this policy. */
    val name: String

    /** Returns the [targets] for [model], best first. */
    fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ): List<RankedTarget>
}

/** Creates the policy selected by the setting [choice]; [random] is used by the randomized policies. */
fun routingPolicy(
    choice: TargetSettings.Policy,
    random: Random = Random.Default,
): RoutingPolicy = when (choice) {
    TargetSettings.Policy.Ours -> AdapterAwarePolicy
    TargetSettings.Policy.Random -> RandomPolicy(random)
    TargetSettings.Policy.LeastLoaded -> LeastLoadedPolicy(random)
    TargetSettings.Policy.Hash -> HashPolicy
}

/** Ranks by loaded adapters, load and the cost of loading an adapter; see [rankTargets]. */
private object AdapterAwarePolicy : RoutingPolicy {
    override val name = TargetSettings.Policy.Ours.value

    override fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ) = rankTargets(model, targets, costs)
}

/** Ranks targets in random order. */
private class RandomPolicy(
    private val random: Random,
) : RoutingPolicy {
    override val name = TargetSettings.Policy.Random.value

    override fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ) = targets.shuffled(random).sortedByDescending { it.isReachable }.map { toRankedTarget(it, costs, name) }
}

/** Prefers the target with the lowest utilization. Ties are broken at random, otherwise all instances would choose the same target. */
private class LeastLoadedPolicy(
    private val random: Random,
) : RoutingPolicy {
    override val name = TargetSettings.Policy.LeastLoaded.value

    override fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ) = targets
        .shuffled(random)
        .sortedWith(compareByDescending<TargetView> { it.isReachable }.thenBy { it.load.toDouble() / it.maxRunning })
        .map { toRankedTarget(it, costs, name) }
}

/** Ranks by rendezvous hashing of the adapter alone, regardless of load. */
private object HashPolicy : RoutingPolicy {
    override val name = TargetSettings.Policy.Hash.value

    override fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ) = targets
        .sortedWith(compareByDescending<TargetView> { it.isReachable }.thenByDescending { rendezvousScore(model, it.target) })
        .map { toRankedTarget(it, costs, name) }
}

private fun toRankedTarget(
    target: TargetView,
    costs: PlacementCosts,
    reason: String,
) = RankedTarget(target.target, delayMs(target, costs).toLong(), reason)
