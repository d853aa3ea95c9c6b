/*
 * Pauses after failed adapter loads at one target.
 */
package io.skylarkstile.entry.target

private const val FIRST_BACKOFF_MS = 200L
private const val MAX_BACKOFF_MS = 30_000L
private const val MAX_DOUBLINGS = 10

/** Waiting requests go to another target after this many failed loads in a row; the first failure is often a passing one. */
private const val FAILURES_BEFORE_REFUSAL = 2

/** The pause after the latest failure. */
internal data class Backoff(
    val failures: Int,
    val pauseMs: Long,
    val until: Long,
) {
    val isRefusing: Boolean get() = failures >= FAILURES_BEFORE_REFUSAL
}

/** Tracks failed loads by model. Not thread-safe: guarded by the target's lock. */
internal class LoadBackoffs {
    private val backoffs = HashMap<String, Backoff>()

    /** Counts a failure of [model]; one by timeout ([isSlow]) has cost its waiting requests enough to send them elsewhere at once. */
    fun failed(
        model: String,
        isSlow: Boolean,
        now: Long,
    ): Backoff {
        val failures = (backoffs[model]?.failures ?: 0) + if (isSlow) FAILURES_BEFORE_REFUSAL else 1
        val pauseMs = (FIRST_BACKOFF_MS shl minOf(failures - 1, MAX_DOUBLINGS)).coerceAtMost(MAX_BACKOFF_MS)
        return Backoff(failures, pauseMs, now + pauseMs).also { backoffs[model] = it }
    }

    fun loaded(model: String) {
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
