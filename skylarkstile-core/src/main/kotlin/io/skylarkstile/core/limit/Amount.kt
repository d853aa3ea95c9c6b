/*
 * Quantities of the two limited goods. They are charged, lent and returned together, so most functions take both at once.
 */
package io.skylarkstile.core.limit

/** Counts requests and generated tokens. Fractions occur because shares and loans are fractions of the fleet's rate. */
data class Amount(
    val requests: Double,
    val tokens: Double,
) {
    operator fun plus(other: Amount): Amount = Amount(requests + other.requests, tokens + other.tokens)

    operator fun minus(other: Amount): Amount = Amount(requests - other.requests, tokens - other.tokens)

    operator fun times(factor: Double): Amount = Amount(requests * factor, tokens * factor)

    /** Returns the smaller of both values for each good. */
    fun atMost(other: Amount): Amount = Amount(minOf(requests, other.requests), minOf(tokens, other.tokens))

    /** Returns which part of [whole] this is, between 0 and 1; the good with the smaller part counts. */
    fun partOf(whole: Amount): Double {
        val part = minOf(requests / whole.requests, tokens / whole.tokens)
        return if (part > 0.0) minOf(part, 1.0) else 0.0
    }

    /** Returns the larger of both values for each good. */
    fun atLeast(other: Amount): Amount = Amount(maxOf(requests, other.requests), maxOf(tokens, other.tokens))

    /** Replaces negative values by 0. */
    fun positive(): Amount = Amount(maxOf(requests, 0.0), maxOf(tokens, 0.0))

    /** Returns whether both goods suffice for [cost], up to rounding errors of sums of fractions. */
    fun covers(cost: Amount): Boolean = requests + ROUNDING >= cost.requests && tokens + ROUNDING >= cost.tokens

    /** Returns whether neither good is more than a rounding error. */
    fun isNothing(): Boolean = requests <= ROUNDING && tokens <= ROUNDING

    companion object {
        val NONE = Amount(0.0, 0.0)

        /** Six sixths may sum to slightly less than 1. An admission that uses this margin leaves the stock negative by it. */
        internal const val ROUNDING = 1e-6
    }
}

/** Holds the fleet-wide limits of one workspace: refill per second and burst. */
data class QuotaLimits(
    val perSecond: Amount,
    val burst: Amount,
)
