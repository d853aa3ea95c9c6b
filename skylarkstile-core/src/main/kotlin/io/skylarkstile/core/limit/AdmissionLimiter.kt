/*
 * Admission against a workspace's fleet-wide rate and burst.
 */
package io.skylarkstile.core.limit

/** Admits requests of workspaces. */
fun interface AdmissionLimiter {
    /** Charges one request and [tokens] generated tokens to [workspace]; may wait shortly for tokens of other instances. */
    suspend fun admit(
        workspace: String,
        tokens: Int,
    ): Admission
}

/** The answer of an [AdmissionLimiter]. */
sealed interface Admission {
    /** The request may run. */
    interface Admitted : Admission {
        /** Returns the reserved tokens that were not generated; only the first call counts. */
        fun settle(generatedTokens: Int)

        /** Returns the whole charge of a request that did not run; only the first call counts. */
        fun cancel()
    }

    /** The request must not run. [reason] is `rate`, `token-rate`, `too-large`, `no-lease` or `unknown-workspace`. */
    data class Refused(
        val reason: String,
        val retryAfterMs: Long,
    ) : Admission
}
