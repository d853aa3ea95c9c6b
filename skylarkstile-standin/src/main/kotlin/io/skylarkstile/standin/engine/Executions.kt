/*
 * Counts the requests that an engine executed.
 */
package io.skylarkstile.standin.engine

import java.util.concurrent.atomic.LongAdder

/** Counts executions by request id, for the newest [MAX_REQUESTS] ids only, to bound memory. */
internal class Executions {
    private val lock = Any()
    private val counts =
        object : LinkedHashMap<String, Int>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Int>): Boolean = size > MAX_REQUESTS
        }
    private val totalCount = LongAdder()
    private val notLoadedCount = LongAdder()
    private val cancelledCount = LongAdder()
    private val brokenCount = LongAdder()

    val total: Long get() = totalCount.sum()
    val notLoaded: Long get() = notLoadedCount.sum()

    /** Number of requests whose caller disconnected or whose stream broke before the end. */
    val cancelled: Long get() = cancelledCount.sum()
    val broken: Long get() = brokenCount.sum()

    fun count(requestId: String) {
        totalCount.increment()
        synchronized(lock) { counts.merge(requestId, 1, Int::plus) }
    }

    fun notLoaded() = notLoadedCount.increment()

    fun cancelled() = cancelledCount.increment()

    fun broken() = brokenCount.increment()

    fun byRequest(): Map<String, Int> = synchronized(lock) { counts.toMap() }

    fun repeated(): Map<String, Int> = synchronized(lock) { counts.filterValues { it > 1 } }
}

private const val MAX_REQUESTS = 50_000
