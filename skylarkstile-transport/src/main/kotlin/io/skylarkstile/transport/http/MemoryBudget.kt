/*
 * The bytes that all connections of one server hold together.
 */
package io.skylarkstile.transport.http

import java.util.concurrent.atomic.AtomicLong

/** Bounds the sum of received requests and of whole answers being written to [maxBytes]. */
internal class MemoryBudget(
    private val maxBytes: Long,
) {
    private val held = AtomicLong()

    /** Returns whether so much is held that stalled connections have to make room for new requests. */
    val isTight: Boolean get() = held.get() > maxBytes / TIGHT_DIVISOR * TIGHT_SHARE

    /** Returns whether [bytes] more may be held, and counts them if so. */
    fun tryTake(bytes: Long): Boolean {
        while (true) {
            val now = held.get()
            if (now + bytes > maxBytes) return false
            if (held.compareAndSet(now, now + bytes)) return true
        }
    }

    fun release(bytes: Long) {
        held.addAndGet(-bytes)
    }

    private companion object {
        const val TIGHT_SHARE = 3
        const val TIGHT_DIVISOR = 4
    }
}
