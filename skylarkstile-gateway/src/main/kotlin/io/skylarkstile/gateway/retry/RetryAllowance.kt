/*
 * A bound on repeated arrivals at the targets of one service in each sliding window. The fixed part is divided among the instances, so
 * that no messages are needed.
 */
package io.skylarkstile.gateway.retry

private const val BUCKET_MS = 500L

/** Part of the allowance that is used; the rest covers clocks and instances that come and go. */
private const val USED_PART = 0.85

/** Counts requests and repeats of one service on one instance. Not thread-safe. */
class RetryAllowance(
    private val ratio: Double,
    private val fixed: Double,
    windowMs: Long,
) {
    private class Bucket(
        val startedAt: Long,
    ) {
        var requests = 0
        var repeats = 0
    }

    private val spanMs = windowMs + BUCKET_MS
    private val buckets = ArrayDeque<Bucket>()

    /** Counts one request of a caller. */
    fun request(now: Long) {
        current(now).requests++
    }

    /** Takes one repeat; returns false when the window of this instance, one of [instances], has none left. */
    fun tryRepeat(
        now: Long,
        instances: Int,
    ): Boolean {
        if (left(now, instances) < 1) return false
        current(now).repeats++
        return true
    }

    /** Returns how many repeats are left now. */
    fun left(
        now: Long,
        instances: Int,
    ): Double {
        current(now)
        return USED_PART * (ratio * buckets.sumOf { it.requests } + fixed / instances.coerceAtLeast(1)) - buckets.sumOf { it.repeats }
    }

    private fun current(now: Long): Bucket {
        while (buckets.isNotEmpty() && buckets.first().startedAt <= now - spanMs) buckets.removeFirst()
        val last = buckets.lastOrNull()
        if (last != null && now < last.startedAt + BUCKET_MS) return last
        return Bucket(now - now % BUCKET_MS).also(buckets::addLast)
    }
}
