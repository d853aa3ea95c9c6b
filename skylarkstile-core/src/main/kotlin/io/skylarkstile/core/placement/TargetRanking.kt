/*
 * Where an adapter should run. A request goes to a target that has the adapter, by least expected wait; another target loads it only when
 * that wait exceeds the cost of a load, so a hot adapter gets replicas one by one. An adapter that is loaded nowhere goes to that of its first
 * two rendezvous homes where a less popular adapter leaves, with a bound on load; this evens out what hashing alone divides unequally.
 */
package io.skylarkstile.core.placement

/**
 * A target busier than this multiple of the mean is not a home for further adapters once more than [PREFERRED_SHARE] of its places are in use.
 * Below that nothing waits, and an adapter that moves leaves its popularity estimate behind (1.0% to 1.4% more load stalls in
 * PolicySimulationSpec).
 */
private const val LOAD_BOUND = 1.25

/** Up to this share of its places in use, the first home of an adapter is preferred to its other replicas, which may then grow idle. */
private const val PREFERRED_SHARE = 0.75

/**
 * Homes among which the victims are compared. In PolicySimulationSpec 3 homes made 0.1% to 0.9% fewer load stalls and all 13 made 0.3% to 1.3%
 * fewer, but two keep an adapter's popularity estimate and its callers' address in few places.
 */
private const val HOMES = 2

/**
 * What is known of one target that can run the wanted adapter. [load] is running plus waiting requests; [victimRate] is the requests per second
 * of the adapter that would leave for the next load, 0 with a free slot.
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

/** Costs in milliseconds: a request's time in its place at a target, and the delay by a load with its wait for a permit. */
data class PlacementCosts(
    val requestMs: Double,
    val loadMs: Double,
)

/** One choice with its expected delay in milliseconds and the reason. */
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
    val bound = maxOf(PREFERRED_SHARE, LOAD_BOUND * targets.sumOf { share(it) } / targets.size)
    val homes = targets.sortedByDescending { rendezvousScore(model, it.target) }.withIndex().associate { it.value.target to it.index }
    val order =
        compareByDescending<TargetView> { it.isReachable }
            .thenBy { delayMs(it, costs) }
            .thenBy { if (it.isLoaded) share(it) > PREFERRED_SHARE else share(it) > bound }
            .thenBy { !it.isLoaded && homes.getValue(it.target) >= HOMES }
            .thenBy { if (it.isLoaded || homes.getValue(it.target) >= HOMES) 0.0 else it.victimRate }
            .thenBy { homes.getValue(it.target) }
    return targets.sortedWith(order).map { RankedTarget(it.target, delayMs(it, costs).toLong(), reason(it)) }
}

private fun share(target: TargetView): Double = target.load.toDouble() / target.maxRunning

private fun reason(target: TargetView): String = when {
    !target.isReachable -> "owner-unreachable"
    target.isLoaded -> "loaded"
    target.isLoading -> "loading"
    else -> "home"
}

/** Expects the delay before the request starts at [target]. */
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

/** Scores [target] as a home of [model]; the highest score wins, and a target's loss or addition moves only the adapters it had or gets. */
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
