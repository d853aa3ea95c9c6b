/*
 * The call rate that a target under pressure accepts from all instances together, as one instance knows it. Instances tell each other what
 * the last response said, and the newest response counts.
 */
package io.skylarkstile.gateway.target

import io.skylarkstile.gateway.model.NamedLimit

/** Tracks the limit of one target, which names one or is cold. Not thread-safe. */
class CallLimit {
    val cold = ColdPeriod()

    /** Calls per second that the target accepts as it says in its responses, or null if it names no limit. */
    var callsPerSecond: Double? = null
        private set
    private var observedAt = NEVER
    private var blockedUntil = NEVER

    /** Applies what the response to a call that was sent at [sentAt] says; returns whether the limit has changed. */
    fun observe(
        now: Long,
        sentAt: Long,
        named: NamedLimit,
    ): Boolean = when (named) {
        is NamedLimit.CallRate -> set(named.callsPerSecond, now)
        // Responses on different connections overtake each other, so only the response to a later call shows that a limit is lifted.
        NamedLimit.None -> (callsPerSecond == null || sentAt > observedAt) && set(null, now)
        NamedLimit.Malformed -> false
    }

    /** Applies what another instance knows from a response at [observedAt], if that is newer; returns whether the limit has changed. */
    fun merge(
        callsPerSecond: Double?,
        observedAt: Long,
    ): Boolean = observedAt > this.observedAt && set(callsPerSecond, observedAt)

    /** Returns the time in milliseconds since the response that named or lifted the limit. */
    fun ageMs(now: Long): Long = now - observedAt

    /** Returns the calls per second that the target accepts now, because it names a limit or is cold, or null if there is no limit. */
    fun rateOrNull(now: Long): Double? = lowestOrNull(callsPerSecond, cold.callsPerSecondOrNull(now))

    /** Records that no call may be sent before [until], because the limit is used up. */
    fun block(until: Long) {
        blockedUntil = until
    }

    /** Returns the time until which no call may be sent, or null if one may be possible now. */
    fun blockedUntilOrNull(now: Long): Long? = blockedUntil.takeIf { isBlocked(now) }

    /** Returns whether no call may be sent now. */
    fun isBlocked(now: Long): Boolean = now < blockedUntil && rateOrNull(now) != null

    private fun set(
        callsPerSecond: Double?,
        observedAt: Long,
    ): Boolean {
        val isChanged = callsPerSecond != this.callsPerSecond
        this.callsPerSecond = callsPerSecond
        this.observedAt = observedAt
        return isChanged
    }

    private companion object {
        /** Far enough in the past, without an overflow when it is subtracted. */
        const val NEVER = Long.MIN_VALUE / 2
    }
}

/** Returns the lower one of two rates, where null stands for no limit. */
internal fun lowestOrNull(
    a: Double?,
    b: Double?,
): Double? = if (a == null || b == null) a ?: b else minOf(a, b)
