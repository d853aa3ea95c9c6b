/*
 * The demand for one workspace's tokens, as an instance reports it to the others.
 */
package io.skylarkstile.gateway.admission

/** Holds the [tokensPerSecond] that callers request and the tokens [admitted] since the process started. */
data class ShareDemand(
    val tokensPerSecond: Double,
    val admitted: Long,
) {
    operator fun plus(other: ShareDemand) = ShareDemand(tokensPerSecond + other.tokensPerSecond, admitted + other.admitted)

    /** Subtracts [part], which must be included in this demand. */
    operator fun minus(part: ShareDemand) = ShareDemand(maxOf(0.0, tokensPerSecond - part.tokensPerSecond), admitted - part.admitted)
}
