/*
 * Bounds the retries sent to the targets of one service in each sliding window. The fixed part of the budget is divided evenly among the
 * instances, so that they need not exchange messages.
 */
package io.skylarkstile.gateway.retry

private const val BUCKET_MS = 500L

/** Fraction of the allowance that is used; the rest covers clock differences and instances that join or leave. */
private const val USED_FRACTION = 0.85

/**
 * Counts requests and retries of one service on one instance. Within [windowMs] milliseconds, the whole fleet may retry [ratio] times its
 * requests plus [fixed] retries. Not thread-safe.
 */
class RetryAllowance(
    private val ratio: Double,
    private val fixed: Double,
    windowMs: Long,
) {
    private class Bucket(
        val startedAt: Long,
    ) {
        var requests = 0
        var retries = 0
    }

    private val retentionMs = windowMs + BUCKET_MS
    private val buckets = ArrayDeque<Bucket>()

    /** Counts one request from a caller. */
    fun countRequest(now: Long) {
        currentBucket(now).requests++
    }

    /** Takes one retry from the allowance of this instance, one of [instances]. Returns false if none is left in the window. */
    fun tryRetry(
        now: Long,
        instances: Int,
    ): Boolean {
        if (remaining(now, instances) < 1) return false
        currentBucket(now).retries++
        return true
    }

    /** Returns the number of retries left in the window that ends at [now]. */
    fun remaining(
        now: Long,
        instances: Int,
    ): Double {
        currentBucket(now)
        return USED_FRACTION * (ratio * buckets.sumOf { it.requests } + fixed / instances.coerceAtLeast(1)) - buckets.sumOf { it.retries }
    }

    private fun currentBucket(now: Long): Bucket {
        while (buckets.isNotEmpty() && buckets.first().startedAt <= now - retentionMs) buckets.removeFirst()
        val last = buckets.lastOrNull()
        if (last != null && now < last.startedAt + BUCKET_MS) return last
        return Bucket(now - now % BUCKET_MS).also(buckets::addLast)
    }
}
