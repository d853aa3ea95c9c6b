/*
 * Backoff after failed adapter loads at one target.
 */
package io.skylarkstile.entry.target

private const val FIRST_BACKOFF_MS = 200L
private const val MAX_BACKOFF_MS = 30_000L
private const val MAX_DOUBLINGS = 10

/** Requests are refused, and so go to another target, after this many failed loads in a row; the first failure is often transient. */
private const val FAILURES_BEFORE_REFUSAL = 2

/** Describes the backoff after the latest failure: its length [pauseMs] and its end [until], in milliseconds. */
internal data class Backoff(
    val failures: Int,
    val pauseMs: Long,
    val until: Long,
) {
    val isRefusing: Boolean get() = failures >= FAILURES_BEFORE_REFUSAL
}

/** Tracks failed loads by model. Not thread-safe; the lock of the target guards it. */
internal class LoadBackoffs {
    private val backoffs = HashMap<String, Backoff>()

    /**
     * Counts a failure of [model]. A load whose outcome is unknown ([isOutcomeUnknown]), usually after a timeout, has already delayed its
     * requests so long that they are refused at once.
     */
    fun onFailed(
        model: String,
        isOutcomeUnknown: Boolean,
        now: Long,
    ): Backoff {
        val failures = (backoffs[model]?.failures ?: 0) + if (isOutcomeUnknown) FAILURES_BEFORE_REFUSAL else 1
        val pauseMs = (FIRST_BACKOFF_MS shl minOf(failures - 1, MAX_DOUBLINGS)).coerceAtMost(MAX_BACKOFF_MS)
        return Backoff(failures, pauseMs, now + pauseMs).also { backoffs[model] = it }
    }

    fun onLoaded(model: String) {
        backoffs.remove(model)
    }

    fun isLoadAllowed(
        model: String,
        now: Long,
    ): Boolean = (backoffs[model]?.until ?: now) <= now

    /** Returns the milliseconds for which new requests for [model] are refused, or null when they are not. */
    fun refusalMs(
        model: String,
        now: Long,
    ): Long? = backoffs[model]?.takeIf { it.isRefusing && it.until > now }?.let { it.until - now }

    fun dump(): Map<String, Int> = backoffs.mapValues { it.value.failures }
}
