/*
 * Memory limit shared by all connections of one server.
 */
package io.skylarkstile.transport.http

import java.util.concurrent.atomic.AtomicLong

/** Limits the total size of received requests and of complete responses being written to [maxBytes]. */
internal class MemoryBudget(
    private val maxBytes: Long,
) {
    private val reservedBytes = AtomicLong()

    /** Returns whether so much is reserved that stalled connections have to be closed to admit new requests. */
    val isNearlyFull: Boolean get() = reservedBytes.get() > maxBytes / NEARLY_FULL_DENOMINATOR * NEARLY_FULL_NUMERATOR

    /** Reserves [bytes] bytes, or returns `false` when they would exceed the limit. */
    fun tryReserve(bytes: Long): Boolean {
        while (true) {
            val current = reservedBytes.get()
            if (current + bytes > maxBytes) return false
            if (reservedBytes.compareAndSet(current, current + bytes)) return true
        }
    }

    fun release(bytes: Long) {
        reservedBytes.addAndGet(-bytes)
    }

    private companion object {
        const val NEARLY_FULL_NUMERATOR = 3
        const val NEARLY_FULL_DENOMINATOR = 4
    }
}
