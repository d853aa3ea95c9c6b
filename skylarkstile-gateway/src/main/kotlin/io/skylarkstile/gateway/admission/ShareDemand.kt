/*
 * What an instance tells the others about one workspace.
 */
package io.skylarkstile.gateway.admission

/** Tokens per second that callers ask for, and tokens [admitted] since the start of the process. */
data class ShareDemand(
    val tokensPerSecond: Double,
    val admitted: Long,
)
