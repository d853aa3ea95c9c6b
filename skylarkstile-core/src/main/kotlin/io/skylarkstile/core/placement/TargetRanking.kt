/*
 * Where an adapter should run. A request goes to a target that has the adapter, by least expected wait; another target loads it only when
 * that wait exceeds the cost of a load, so a hot adapter gets replicas one by one. Unloaded targets are taken in rendezvous order, so that
 * all instances choose the same one, with a bound on load.
 */
package io.skylarkstile.core.placement

/** A target busier than this multiple of the mean is not a home for further adapters. */
private const val LOAD_BOUND = 1.25

/** Up to this share of its places in use, the first home of an adapter is preferred to its other replicas, which may then grow idle. */
private const val PREFERRED_SHARE = 0.75

/** What is known of one target that can run the wanted adapter. [load] is running plus waiting requests. */
data class TargetView(
    val target: String,
    val isLoaded: Boolean,
    val isLoading: Boolean,
    val load: Int,
    val maxRunning: Int,
    val isReachable: Boolean = true,
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
    val bound = LOAD_BOUND * targets.sumOf { share(it) } / targets.size
    val homes = targets.sortedByDescending { rendezvousScore(model, it.target) }.withIndex().associate { it.value.target to it.index }
    val order =
        compareByDescending<TargetView> { it.isReachable }
            .thenBy { delayMs(it, costs) }
            .thenBy { if (it.isLoaded) share(it) > PREFERRED_SHARE else share(it) > bound && it.load > 0 }
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
