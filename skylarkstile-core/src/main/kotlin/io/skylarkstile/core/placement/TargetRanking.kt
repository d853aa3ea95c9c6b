/*
 * Ranking of targets for a request. The target with the shortest expected delay is preferred, so another target loads an adapter only when
 * the wait at its replicas exceeds the cost of a load, and a hot adapter gets replicas one by one. An adapter that is loaded nowhere goes
 * to the one of its first two targets by rendezvous hashing (its homes) that would unload the less popular adapter, with a bound on load;
 * this evens out the unequal distribution of plain hashing.
 */
package io.skylarkstile.core.placement

/**
 * Multiple of the mean utilization above which a target is avoided as a home for further adapters, if its utilization also exceeds
 * [PREFERRED_UTILIZATION]. Below that utilization no request waits, and moving an adapter loses its popularity estimate (1.0% to 1.4% more
 * load stalls in PolicySimulationSpec).
 */
private const val LOAD_BOUND_FACTOR = 1.25

/** Utilization up to which the first home of an adapter is preferred to its other replicas, so that these can become idle. */
private const val PREFERRED_UTILIZATION = 0.75

/**
 * Number of homes per adapter whose eviction victims are compared. In PolicySimulationSpec, 3 homes caused 0.1% to 0.9% fewer load stalls
 * and all 13 targets 0.3% to 1.3% fewer, but with two, an adapter's popularity estimate and its callers' address are kept in fewer places.
 */
private const val HOME_COUNT = 2

/**
 * Describes the known state of one target that can run the requested adapter. [load] is the number of running and waiting requests;
 * [victimRate] is the requests per second of the adapter that the next load would evict, or 0 when a slot is free.
 */
data class TargetView(
    val target: String,
    val isLoaded: Boolean,
    val isLoading: Boolean,
    val load: Int,
    val maxRunning: Int,
    val isReachable: Boolean = true,
    val victimRate: Double = 0.0,
)

/** Holds costs in milliseconds: the run time of a request, and the delay caused by a load including its wait for a permit. */
data class PlacementCosts(
    val requestMs: Double,
    val loadMs: Double,
)

/** Holds a ranked target with its expected delay in milliseconds and the reason for its rank. */
data class RankedTarget(
    val target: String,
    val expectedMs: Long,
    val reason: String,
)

/** Returns the [targets] for [model], best first. */
fun rankTargets(
    model: String,
    targets: List<TargetView>,
    costs: PlacementCosts,
): List<RankedTarget> {
    if (targets.isEmpty()) return emptyList()
    val utilizationBound = maxOf(PREFERRED_UTILIZATION, LOAD_BOUND_FACTOR * targets.sumOf { utilization(it) } / targets.size)
    val homeRanks = targets.sortedByDescending { rendezvousScore(model, it.target) }.withIndex().associate { it.value.target to it.index }
    val order =
        compareByDescending<TargetView> { it.isReachable }
            .thenBy { delayMs(it, costs) }
            .thenBy { if (it.isLoaded) utilization(it) > PREFERRED_UTILIZATION else utilization(it) > utilizationBound }
            .thenBy { !it.isLoaded && homeRanks.getValue(it.target) >= HOME_COUNT }
            .thenBy { if (it.isLoaded || homeRanks.getValue(it.target) >= HOME_COUNT) 0.0 else it.victimRate }
            .thenBy { homeRanks.getValue(it.target) }
    return targets.sortedWith(order).map { RankedTarget(it.target, delayMs(it, costs).toLong(), reason(it)) }
}

private fun utilization(target: TargetView): Double = target.load.toDouble() / target.maxRunning

private fun reason(target: TargetView): String = when {
    !target.isReachable -> "owner-unreachable"
    target.isLoaded -> "loaded"
    target.isLoading -> "loading"
    else -> "home"
}

/** Estimates the delay in milliseconds before the request starts at [target]. */
internal fun delayMs(
    target: TargetView,
    costs: PlacementCosts,
): Double {
    val excess = (target.load + 1 - target.maxRunning).coerceAtLeast(0)
    val wait = excess * costs.requestMs / target.maxRunning
    return when {
        target.isLoaded -> wait
        target.isLoading -> maxOf(wait, costs.loadMs / 2)
        else -> wait + costs.loadMs
    }
}

/**
 * Computes the rendezvous-hashing score of [target] for [model]; the target with the highest score is the first home. Adding or removing a
 * target moves only the adapters that it gets or had.
 */
internal fun rendezvousScore(
    model: String,
    target: String,
): Long {
    var hash = -0x340d631b7bdddcdbL
    "$model/$target".forEach { hash = (hash xor it.code.toLong()) * 0x100000001b3L }
    hash = (hash xor (hash ushr 33)) * -0xae502812aa7333L
    hash = (hash xor (hash ushr 33)) * -0x3b314601e57a13adL
    return hash xor (hash ushr 33)
}
