/*
 * Eviction: chooses which idle adapter is unloaded from an engine when another one needs its slot.
 */
package io.skylarkstile.core.placement

import kotlinx.serialization.Serializable
import kotlin.math.exp

/** Minimum probability of a request within the load time at which an adapter counts as needed soon and is evicted only as a last resort. */
private const val LIKELY_NEEDED_PROBABILITY = 0.5

/** Describes a loaded handle that may be unloaded: no request runs on it or waits for it. [ratePerSecond] is its request rate. */
data class IdleHandle(
    val handle: String,
    val usable: Boolean,
    val ratePerSecond: Double,
    val lastUsedAt: Long,
)

/** Holds the handle to unload, or null when none may be unloaded, and the reason. */
@Serializable
data class VictimChoice(
    val handleOrNull: String?,
    val reason: String,
)

/**
 * Chooses the handle to unload among [idle]: first handles that are no longer usable, then the least popular, then the least recently used.
 * When all are likely to be needed again within [loadMs] milliseconds, none is unloaded until [oldestWaitMs] has reached [loadMs].
 */
fun chooseVictim(
    idle: List<IdleHandle>,
    loadMs: Long,
    oldestWaitMs: Long,
): VictimChoice {
    if (idle.isEmpty()) return VictimChoice(null, "all-in-use")
    idle.filter { !it.usable }.minByOrNull { it.lastUsedAt }?.let { return VictimChoice(it.handle, "stale-handle") }
    val (keep, free) = idle.partition { requestProbability(it.ratePerSecond, loadMs) >= LIKELY_NEEDED_PROBABILITY }
    val order = compareBy<IdleHandle> { it.ratePerSecond }.thenBy { it.lastUsedAt }.thenBy { it.handle }
    free.minWithOrNull(order)?.let { return VictimChoice(it.handle, "least-popular") }
    if (oldestWaitMs < loadMs) return VictimChoice(null, "all-needed-soon")
    return VictimChoice(keep.minWith(order).handle, "least-popular-of-needed")
}

/** Returns the probability of a request within [ms] milliseconds, assuming independent (Poisson) arrivals. */
internal fun requestProbability(
    ratePerSecond: Double,
    ms: Long,
): Double = 1 - exp(-ratePerSecond * ms / 1_000)
