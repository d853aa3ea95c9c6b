/*
 * Counters of the requests that an engine executed.
 */
package io.skylarkstile.standin.engine

import java.util.concurrent.atomic.LongAdder

/** Counts executions by request id; only the newest [MAX_REQUESTS] ids are kept. */
internal class Executions {
    private val lock = Any()
    private val counts =
        object : LinkedHashMap<String, Int>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Int>): Boolean = size > MAX_REQUESTS
        }
    private val all = LongAdder()
    private val missing = LongAdder()
    private val ended = LongAdder()
    private val failed = LongAdder()

    val total: Long get() = all.sum()
    val notLoaded: Long get() = missing.sum()

    /** Requests whose caller went away or whose stream broke before the end. */
    val cancelled: Long get() = ended.sum()
    val broken: Long get() = failed.sum()

    fun count(requestId: String) {
        all.increment()
        synchronized(lock) { counts.merge(requestId, 1, Int::plus) }
    }

    fun notLoaded() = missing.increment()

    fun cancelled() = ended.increment()

    fun broken() = failed.increment()

    fun byRequest(): Map<String, Int> = synchronized(lock) { counts.toMap() }

    fun repeated(): Map<String, Int> = synchronized(lock) { counts.filterValues { it > 1 } }
}

private const val MAX_REQUESTS = 50_000
