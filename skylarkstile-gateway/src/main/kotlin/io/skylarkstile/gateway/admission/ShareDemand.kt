/*
 * What an instance tells the others about one workspace.
 */
package io.skylarkstile.gateway.admission

/** Tokens per second that callers ask for, and tokens [admitted] since the start of the process. */
data class ShareDemand(
    val tokensPerSecond: Double,
    val admitted: Long,
) {
    operator fun plus(other: ShareDemand) = ShareDemand(tokensPerSecond + other.tokensPerSecond, admitted + other.admitted)

    /** Returns the rest when [part], which is contained in this, is taken away. */
    operator fun minus(part: ShareDemand) = ShareDemand(maxOf(0.0, tokensPerSecond - part.tokensPerSecond), admitted - part.admitted)
}
