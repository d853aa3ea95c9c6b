/*
 * Which target gets a call: the least loaded one, with distance and recent failures counted as load. Answers a load in which some
 * targets are slow, sick or far away while others have room.
 */
package io.skylarkstile.gateway.target

/** A target in another data centre counts as loaded by this part of its slots more: bytes between data centres are priced. */
private const val DISTANCE_LOAD = 0.04

/** A target that fails all calls counts as loaded by this many times its slots. */
private const val FAILURE_LOAD = 4.0

/** Calls beyond this multiple of a target's slots are better refused: they would wait behind a whole batch. */
const val FULL_LOAD = 2.5

/** Chooses targets for an instance in [dataCentre]. [random] breaks ties, so that instances don't all choose the same target. */
class TargetChoice(
    private val dataCentre: String,
    private val random: () -> Double,
) {
    /** Returns the best of [candidates] without those in [tried], or null when there is none with room. */
    fun chooseOrNull(
        now: Long,
        candidates: List<TargetState>,
        tried: Set<String>,
    ): TargetState? {
        val open = candidates.filter { it.id !in tried && it.load < FULL_LOAD }
        val calm = open.filter { !it.health.isPaused(now) }
        return calm.ifEmpty { open }.minByOrNull { cost(now, it) }
    }

    /** Returns the load of [target] as this instance weighs it. */
    fun cost(
        now: Long,
        target: TargetState,
    ): Double {
        val distance = if (target.entry.dataCentre == dataCentre) 0.0 else DISTANCE_LOAD
        val tie = random() / target.entry.slots.coerceAtLeast(1)
        return target.load + distance + FAILURE_LOAD * target.health.failureShare(now) + tie
    }
}
