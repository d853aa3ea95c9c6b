/*
 * Notices a target that sends nothing although calls are on it. A target that crashed behind a dead link doesn't close its connections, so
 * every call for one of its adapters would be lost until its entry lapses seconds later.
 */
package io.skylarkstile.gateway.target

/**
 * Time without a byte while calls are on a target, in milliseconds. Streams bring events each few steps of an engine, and a long prompt
 * holds them up for about 0.1 s a step.
 */
const val SILENCE_MS = 400L

/** Counts the calls that were sent to one target and when it was last heard. Not thread-safe. */
class TargetSilence {
    private var calls = 0
    private var quietSince = 0L

    /** Notes a call that is sent. */
    fun sent(now: Long) {
        if (calls++ == 0) quietSince = now
    }

    /** Notes any bytes from the target. */
    fun heard(now: Long) {
        quietSince = now
    }

    /** Notes that a call has ended. */
    fun ended() {
        calls--
    }

    /** Returns whether calls are on the target and nothing was heard for too long. */
    fun isSilent(now: Long): Boolean = calls > 0 && now - quietSince >= SILENCE_MS
}
