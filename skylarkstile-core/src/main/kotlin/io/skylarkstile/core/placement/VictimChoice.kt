/*
 * Which idle adapter leaves an engine when another one needs its slot.
 */
package io.skylarkstile.core.placement

import kotlinx.serialization.Serializable
import kotlin.math.exp

/** An adapter needed again within its own load time with at least this probability is kept while another choice exists. */
private const val LIKELY_NEEDED = 0.5

/** Describes a loaded handle that may leave: nothing runs on it and nothing waits for it. [ratePerSecond] is its popularity. */
data class IdleHandle(
    val handle: String,
    val usable: Boolean,
    val ratePerSecond: Double,
    val lastUsedAt: Long,
)

/** Names the handle to unload, or null, with the reason. */
@Serializable
data class VictimChoice(
    val handleOrNull: String?,
    val reason: String,
)

/**
 * Chooses a handle to unload among [idle]: handles that cannot be used any more first, then the least popular, then the least recently used.
 * When all are likely to be needed again within [loadMs] milliseconds, none leaves until [oldestWaitMs] has reached [loadMs].
 */
fun chooseVictim(
    idle: List<IdleHandle>,
    loadMs: Long,
    oldestWaitMs: Long,
): VictimChoice {
    if (idle.isEmpty()) return VictimChoice(null, "all-in-use")
    idle.filter { !it.usable }.minByOrNull { it.lastUsedAt }?.let { return VictimChoice(it.handle, "stale-handle") }
    val (keep, free) = idle.partition { neededWithin(it.ratePerSecond, loadMs) >= LIKELY_NEEDED }
    val order = compareBy<IdleHandle> { it.ratePerSecond }.thenBy { it.lastUsedAt }.thenBy { it.handle }
    free.minWithOrNull(order)?.let { return VictimChoice(it.handle, "least-popular") }
    if (oldestWaitMs < loadMs) return VictimChoice(null, "all-needed-soon")
    return VictimChoice(keep.minWith(order).handle, "least-popular-of-needed")
}

/** Returns the probability of a request within [ms] milliseconds when requests are independent. */
internal fun neededWithin(
    ratePerSecond: Double,
    ms: Long,
): Double = 1 - exp(-ratePerSecond * ms / 1_000)
