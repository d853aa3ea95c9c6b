/*
 * Quantities of the two rate-limited resources: requests and generated tokens. Both are charged, lent and returned together.
 */
package io.skylarkstile.core.limit

/**
 * Holds a number of requests and of generated tokens. Both may be fractional because shares and loans are fractions of the fleet's rate.
 */
data class Amount(
    val requests: Double,
    val tokens: Double,
) {
    operator fun plus(other: Amount): Amount = Amount(requests + other.requests, tokens + other.tokens)

    operator fun minus(other: Amount): Amount = Amount(requests - other.requests, tokens - other.tokens)

    operator fun times(factor: Double): Amount = Amount(requests * factor, tokens * factor)

    /** Returns the component-wise minimum. */
    fun atMost(other: Amount): Amount = Amount(minOf(requests, other.requests), minOf(tokens, other.tokens))

    /** Returns this amount as a fraction of [whole], between 0 and 1: the smaller fraction of the two components. */
    fun fractionOf(whole: Amount): Double {
        val fraction = minOf(requests / whole.requests, tokens / whole.tokens)
        return if (fraction > 0.0) minOf(fraction, 1.0) else 0.0
    }

    /** Returns the component-wise maximum. */
    fun atLeast(other: Amount): Amount = Amount(maxOf(requests, other.requests), maxOf(tokens, other.tokens))

    /** Replaces negative components by 0. */
    fun positive(): Amount = Amount(maxOf(requests, 0.0), maxOf(tokens, 0.0))

    /** Returns whether both components are at least those of [cost], within [ROUNDING_TOLERANCE]. */
    fun covers(cost: Amount): Boolean = requests + ROUNDING_TOLERANCE >= cost.requests && tokens + ROUNDING_TOLERANCE >= cost.tokens

    /** Returns whether both components are zero within [ROUNDING_TOLERANCE]. */
    fun isNothing(): Boolean = requests <= ROUNDING_TOLERANCE && tokens <= ROUNDING_TOLERANCE

    companion object {
        val NONE = Amount(0.0, 0.0)

        /**
         * Tolerance for floating-point rounding: six sixths may sum to slightly less than 1. An admission that relies on it leaves the
         * stock negative by at most this value.
         */
        internal const val ROUNDING_TOLERANCE = 1e-6
    }
}

/** Holds the fleet-wide limits of one workspace: the refill [perSecond] and the [burst]. */
data class QuotaLimits(
    val perSecond: Amount,
    val burst: Amount,
)
