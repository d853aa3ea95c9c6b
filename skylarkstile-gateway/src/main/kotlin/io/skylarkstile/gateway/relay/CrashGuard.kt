/*
 * Protects targets from calls that crash them.
 */
package io.skylarkstile.gateway.relay

import io.skylarkstile.gateway.target.TargetState

/** Refuses calls with a shared prompt part under which target after target has crashed. */
interface CrashGuard {
    /** Returns the time until which calls with any of [parts] are refused, or null if they may be sent. */
    fun blockedUntilOrNull(
        parts: List<String>,
        now: Long,
    ): Long?

    /** Returns whether any of [parts] may have crashed targets, so that a call with it isn't sent again. */
    fun isSuspected(
        parts: List<String>,
        now: Long,
    ): Boolean

    /** Records that a call with [parts] is sent. */
    fun callSent(
        parts: List<String>,
        now: Long,
    )

    /**
     * Records that [target] closed the connection of a call with [parts] before the response was complete; it began at [respondedAt], or not at
     * all.
     */
    fun callLost(
        target: TargetState,
        parts: List<String>,
        respondedAt: Long?,
        now: Long,
    )

    /** Records that a call with [parts] has succeeded. */
    fun callServed(
        parts: List<String>,
        now: Long,
    )
}
