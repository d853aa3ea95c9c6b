/*
 * Simulates work that slows down when too much of it runs concurrently, for adapter loads in an engine and in the weight store.
 */
package io.skylarkstile.standin.weights

import io.skylarkstile.standin.http.monotonicMs
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger

/** Counts operations in progress. */
internal class InProgressCounter {
    private val running = AtomicInteger()

    /** Number of operations in progress. */
    val inProgress: Int get() = running.get()

    /** Runs [block] and counts it as in progress meanwhile. */
    suspend fun <T> counted(block: suspend () -> T): T {
        running.incrementAndGet()
        try {
            return block()
        } finally {
            running.decrementAndGet()
        }
    }
}

/** Suspends for [workMs] milliseconds at full speed, or longer if [speed], which is polled, is below 1; 0 makes no progress. */
internal suspend fun simulateWork(
    workMs: Double,
    speed: () -> Double,
) {
    var left = workMs
    var before = monotonicMs()
    while (left > 0) {
        val now = speed()
        val step = if (now > 0) (left / now).toLong().coerceIn(1, TICK_MS) else TICK_MS
        delay(step)
        val at = monotonicMs()
        left -= (at - before) * now
        before = at
    }
}

/** Maximum interval between polls of the speed, in milliseconds. */
private const val TICK_MS = 20L
