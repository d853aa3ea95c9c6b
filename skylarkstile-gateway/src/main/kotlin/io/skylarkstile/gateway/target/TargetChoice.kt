/*
 * Which target gets a call: the one that is expected to answer first, with distance and recent failures counted as delay. Answers a load
 * in which some targets are slow, sick or far away, or busy with long prompts, while others have room.
 */
package io.skylarkstile.gateway.target

/** Prompt tokens that an engine reads in a millisecond: the order of magnitude of today's engines, since only differences matter. */
private const val READ_TOKENS_PER_MS = 25.0

/** Delay at a target whose slots or memory are just full, in milliseconds. */
private const val FULL_DELAY_MS = 100.0

/** Further delay for each multiple of a target's slots that waits, in milliseconds. */
private const val WAITING_DELAY_MS = 400.0

/** A target in another data centre counts as slower by this, in milliseconds: bytes between data centres are priced. */
private const val DISTANCE_MS = 6.0

/** A target that fails all calls counts as slower by this, in milliseconds. */
private const val FAILURE_DELAY_MS = 1_500.0

/** Differences below this, in milliseconds, are left to chance, so that instances don't all choose the same target. */
private const val TIE_MS = 4.0

/** Calls beyond this multiple of a target's slots or memory are better refused: they would wait behind a whole batch. */
const val FULL_LOAD = 2.5

/** Chooses targets for an instance in [dataCentre]; [random] breaks ties. */
class TargetChoice(
    private val dataCentre: String,
    private val random: () -> Double,
) {
    /** Returns the best of [candidates] without those in [tried], or null when there is none with room. */
    fun chooseOrNull(
        now: Long,
        candidates: List<TargetState>,
        tried: Set<String>,
    ): TargetState? = usable(now, candidates, tried).minByOrNull { delayMs(now, it) }

    /** Returns those of [candidates] that take a call: with room, not in [tried], and not silent unless all of them are. */
    fun usable(
        now: Long,
        candidates: List<TargetState>,
        tried: Set<String>,
    ): List<TargetState> {
        val open = candidates.filter { it.id !in tried && it.load < FULL_LOAD }
        return open.filter { !it.isAvoided(now) }.ifEmpty { open }
    }

    /** Returns the delay of [target] in milliseconds as this instance weighs it. */
    fun delayMs(
        now: Long,
        target: TargetState,
    ): Double {
        val load = target.load
        val waiting = (load - 1).coerceAtLeast(0.0) * WAITING_DELAY_MS
        val reading = target.weight.unreadTokens / READ_TOKENS_PER_MS
        val distance = if (target.entry.dataCentre == dataCentre) 0.0 else DISTANCE_MS
        return FULL_DELAY_MS * load + waiting + reading + distance + FAILURE_DELAY_MS * target.health.failureShare(now) + random() * TIE_MS
    }
}
