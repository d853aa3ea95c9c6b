/*
 * Chooses the target that is expected to respond first. Load, unprocessed prompts, distance and recent failures all count as delay, so that
 * calls avoid slow, failing or remote targets while others have room.
 */
package io.skylarkstile.gateway.target

/** Prompt tokens that an engine processes per millisecond. The order of magnitude is enough: only differences between targets count. */
private const val PREFILL_TOKENS_PER_MS = 25.0

/** Delay of a target whose slots or memory are exactly full, in milliseconds. */
private const val FULL_DELAY_MS = 100.0

/** Additional delay per unit of load above 1, that is for calls queued beyond the target's capacity, in milliseconds. */
private const val QUEUE_DELAY_MS = 400.0

/** Additional delay of a target in another data centre, in milliseconds; traffic between data centres costs money. */
private const val REMOTE_DELAY_MS = 6.0

/** Additional delay of a target that fails all calls, in milliseconds; proportionally less for a smaller share of failures. */
private const val FAILURE_DELAY_MS = 1_500.0

/** Maximum random delay, in milliseconds, so that instances don't all choose the same of several similar targets. */
private const val RANDOM_DELAY_MS = 4.0

/** Load at which a target gets no more calls, as a multiple of its slots or memory. Further calls would wait behind a whole batch. */
const val MAX_LOAD = 2.5

/** Chooses targets for an instance in [dataCentre]; [random] returns values from 0 to 1 and varies similar delays. */
class TargetSelector(
    private val dataCentre: String,
    private val random: () -> Double,
) {
    /** Returns the candidate with the least delay that is not in [tried], or null when none has room. */
    fun chooseOrNull(
        now: Long,
        candidates: List<TargetState>,
        tried: Set<String>,
    ): TargetState? = available(now, candidates, tried).minByOrNull { delayMs(now, it) }

    /** Returns the candidates that have room and are not in [tried]; suspected ones only if there are no others. */
    fun available(
        now: Long,
        candidates: List<TargetState>,
        tried: Set<String>,
    ): List<TargetState> {
        val available = candidates.filter { it.id !in tried && it.load < MAX_LOAD }
        return available.filter { !it.isSuspected(now) }.ifEmpty { available }
    }

    /** Returns the estimated delay of [target] in milliseconds, as seen from this instance. */
    fun delayMs(
        now: Long,
        target: TargetState,
    ): Double {
        val load = target.load
        val queueing = (load - 1).coerceAtLeast(0.0) * QUEUE_DELAY_MS
        val prefill = target.weight.unreadTokens / PREFILL_TOKENS_PER_MS
        val distance = if (target.entry.dataCentre == dataCentre) 0.0 else REMOTE_DELAY_MS
        return FULL_DELAY_MS * load + queueing + prefill + distance + FAILURE_DELAY_MS * target.health.failureShare(now) +
            random() * RANDOM_DELAY_MS
    }
}
