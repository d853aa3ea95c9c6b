/*
 * Work that slows down when too much of it runs at once. Used for loads inside one engine and in the weight store.
 */
package io.skylarkstile.standin.weights

import io.skylarkstile.standin.http.monotonicMs
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger

/** Counts the work in progress. */
internal class SharedRate {
    private val running = AtomicInteger()

    /** Number of pieces of work in progress. */
    val inProgress: Int get() = running.get()

    /** Counts [block] as work in progress. */
    suspend fun <T> counted(block: suspend () -> T): T {
        running.incrementAndGet()
        try {
            return block()
        } finally {
            running.decrementAndGet()
        }
    }
}

/** Suspends until [workMs] milliseconds of work are done at the changing speed that [speed] returns (1 is full speed, 0 stands still). */
internal suspend fun work(
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

/** Interval in milliseconds at which the speed is looked at anew. */
private const val TICK_MS = 20L
