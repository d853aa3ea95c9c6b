/*
 * Admission control: checks requests against the fleet-wide rate limit and burst of their workspace.
 */
package io.skylarkstile.core.limit

/** Limits the rate of requests and generated tokens of each workspace. */
fun interface AdmissionLimiter {
    /**
     * Charges one request and [tokens], the number of tokens that it may generate, to [workspace]. May suspend for a short time to obtain
     * tokens from other instances.
     */
    suspend fun admit(
        workspace: String,
        tokens: Int,
    ): Admission
}

/** Represents the decision of an [AdmissionLimiter]. */
sealed interface Admission {
    /** Allows the request to run. The charge is corrected by [settle] or undone by [cancel]. */
    interface Admitted : Admission {
        /** Refunds the reserved tokens that were not generated. Only the first call has an effect. */
        fun settle(generatedTokens: Int)

        /** Refunds the whole charge of a request that did not run. Only the first call has an effect. */
        fun cancel()
    }

    /** Rejects the request. [reason] is `rate`, `token-rate`, `too-large`, `no-lease` or `unknown-workspace`. */
    data class Refused(
        val reason: String,
        val retryAfterMs: Long,
    ) : Admission
}
