/*
 * Detects a target that sends nothing while it has calls. A target that crashed or lost its network link doesn't close its connections, so
 * every call for one of its adapters would fail until its entry in the store expires seconds later.
 */
package io.skylarkstile.gateway.target

/**
 * Time without any data from a target with calls after which it counts as silent, in milliseconds. Streams send an event every few engine
 * steps, and a long prompt delays each step by about 0.1 s.
 */
const val SILENCE_TIMEOUT_MS = 400L

/** Tracks the open calls of one target and the time of the last data from it. Not thread-safe. */
class SilenceDetector {
    private var openCalls = 0
    private var lastActivityAt = 0L

    /** Records that a call is sent. */
    fun callSent(now: Long) {
        if (openCalls++ == 0) lastActivityAt = now
    }

    /** Records that the target sent any data. */
    fun recordActivity(now: Long) {
        lastActivityAt = now
    }

    /** Records that a call has ended. */
    fun callEnded() {
        openCalls--
    }

    /** Returns whether the target has open calls and has sent nothing for [SILENCE_TIMEOUT_MS]. */
    fun isSilent(now: Long): Boolean = openCalls > 0 && now - lastActivityAt >= SILENCE_TIMEOUT_MS
}
