/*
 * Limits the memory that the heads of requests take until their calls end. A head within the limit of its bytes takes most when it consists of
 * many short fields.
 */
package io.skylarkstile.gateway.relay

import io.netty.handler.codec.http.HttpRequest

/** Memory of a request and its call apart from its header fields, and of one field beside its characters, in bytes. */
private const val REQUEST_BYTES = 1_024L
private const val FIELD_BYTES = 256L
private const val BYTES_PER_CHAR = 2L

/** Heads up to this size may use the part of the memory that is kept from larger ones, in bytes. */
internal const val COMMON_HEAD_BYTES = 32_768L

/** Share of the heap that heads of any size may take together, and that common ones may fill up to. */
private const val HEAD_SHARE = 0.2
private const val COMMON_HEAD_SHARE = 0.35

/** Returns the memory that [request] takes without its body, in bytes. */
internal fun headBytes(request: HttpRequest): Long {
    var bytes = REQUEST_BYTES + request.uri().length * BYTES_PER_CHAR
    val fields = request.headers().iteratorCharSequence()
    while (fields.hasNext()) {
        val field = fields.next()
        bytes += FIELD_BYTES + (field.key.length + field.value.length) * BYTES_PER_CHAR
    }
    return bytes
}

/** Grants parts of a heap of [heapBytes] to the heads of requests. Not thread-safe. */
internal class HeadBudget(
    private val heapBytes: Long,
) {
    /** Bytes of all heads that are held. */
    var reservedBytes = 0L
        private set

    /** Reserves [bytes] for one head, or returns false when they don't fit. */
    fun tryReserve(bytes: Long): Boolean {
        val share = if (bytes <= COMMON_HEAD_BYTES) COMMON_HEAD_SHARE else HEAD_SHARE
        if (reservedBytes + bytes > heapBytes * share) return false
        reservedBytes += bytes
        return true
    }

    /** Releases what was reserved for a head. */
    fun release(bytes: Long) {
        reservedBytes -= bytes
    }
}
