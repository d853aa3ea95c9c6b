/*
 * Selectable orders of the targets for a request. All but [OwnPolicy] are baselines for measurements. Every policy puts targets whose
 * owner is unreachable last, so that a comparison does not measure failed attempts.
 */
package io.skylarkstile.core.placement

import io.skylarkstile.schema.generated.TargetSettings
import kotlin.random.Random

/** Orders targets for a request. */
interface RoutingPolicy {
    /** The value of the setting `target.policy`. */
    val name: String

    /** Returns the [targets] for [model], best first. */
    fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ): List<RankedTarget>
}

/** Creates the policy of the setting [choice]; [random] serves the policies that choose at random. */
fun routingPolicy(
    choice: TargetSettings.Policy,
    random: Random = Random.Default,
): RoutingPolicy = when (choice) {
    TargetSettings.Policy.Ours -> OwnPolicy
    TargetSettings.Policy.Random -> RandomPolicy(random)
    TargetSettings.Policy.LeastLoaded -> LeastLoadedPolicy(random)
    TargetSettings.Policy.Hash -> HashPolicy
}

/** Uses [rankTargets]: adapter, load and cost of a load. */
private object OwnPolicy : RoutingPolicy {
    override val name = TargetSettings.Policy.Ours.value

    override fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ) = rankTargets(model, targets, costs)
}

/** Chooses with equal probability. */
private class RandomPolicy(
    private val random: Random,
) : RoutingPolicy {
    override val name = TargetSettings.Policy.Random.value

    override fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ) = targets.shuffled(random).sortedByDescending { it.isReachable }.map { ranked(it, costs, name) }
}

/** Takes the target with the smallest used share of its places. Ties are broken at random, else all instances would choose the same target. */
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
        .map { ranked(it, costs, name) }
}

/** Sends each adapter to its rendezvous home whatever the load. */
private object HashPolicy : RoutingPolicy {
    override val name = TargetSettings.Policy.Hash.value

    override fun rank(
        model: String,
        targets: List<TargetView>,
        costs: PlacementCosts,
    ) = targets
        .sortedWith(compareByDescending<TargetView> { it.isReachable }.thenByDescending { rendezvousScore(model, it.target) })
        .map { ranked(it, costs, name) }
}

private fun ranked(
    target: TargetView,
    costs: PlacementCosts,
    reason: String,
) = RankedTarget(target.target, delayMs(target, costs).toLong(), reason)
