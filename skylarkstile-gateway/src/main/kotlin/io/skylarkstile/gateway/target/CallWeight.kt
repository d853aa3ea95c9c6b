/*
 * The load that calls put on a target.
 */
package io.skylarkstile.gateway.target

/** Counts [calls], the [tokens] of their prompts and outputs, and the [unreadTokens] of prompts whose response has not started. */
data class CallWeight(
    val calls: Int,
    val tokens: Int,
    val unreadTokens: Int,
) {
    operator fun plus(other: CallWeight) = CallWeight(calls + other.calls, tokens + other.tokens, unreadTokens + other.unreadTokens)

    /** Subtracts [part]; no component goes below 0. */
    operator fun minus(part: CallWeight) = CallWeight(
        maxOf(0, calls - part.calls),
        maxOf(0, tokens - part.tokens),
        maxOf(0, unreadTokens - part.unreadTokens),
    )

    companion object {
        val NONE = CallWeight(0, 0, 0)
    }
}
