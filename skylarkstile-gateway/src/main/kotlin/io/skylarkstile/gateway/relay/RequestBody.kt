/*
 * Collects the body of one request at a time within the budget for bodies.
 */
package io.skylarkstile.gateway.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.Unpooled

/** Holds the parts of a body until it is taken; what it reserves of [budget] is released apart, when its call has ended. */
internal class RequestBody(
    private val budget: BodyBudget,
) {
    private var data: ByteBuf = Unpooled.EMPTY_BUFFER
    private var reservedBytes = 0L

    /** Number of bytes that have been added. */
    val size: Int get() = data.readableBytes()

    /** Reserves memory for [bytes] bytes in all, of which a part may have been reserved before; returns false if they don't fit. */
    fun tryReserve(bytes: Long): Boolean {
        val more = bytes - reservedBytes
        if (more <= 0) return true
        if (!budget.tryReserve(more, bytes)) return false
        reservedBytes += more
        return true
    }

    /** Adds [part], which still belongs to the calling code; returns false if it doesn't fit. */
    fun tryAdd(
        part: ByteBuf,
        allocator: ByteBufAllocator,
    ): Boolean {
        if (!part.isReadable) return true
        val bytes = size + part.readableBytes()
        // A body of unknown length reserves more than it needs, so that its buffer isn't moved for each part.
        if (bytes > reservedBytes && !tryReserve(maxOf(bytes.toLong(), reservedBytes * 2)) && !tryReserve(bytes.toLong())) return false
        if (data === Unpooled.EMPTY_BUFFER) data = allocator.buffer(part.readableBytes())
        // A long body of known length is moved once: doubling its buffer again and again would take up to three times its size.
        if (bytes > data.capacity() && bytes > SHORT_BODY_BYTES) data.capacity(reservedBytes.toInt())
        data.writeBytes(part)
        return true
    }

    /** Returns the whole body, which then belongs to the calling code. */
    fun take(): ByteBuf = data.also { data = Unpooled.EMPTY_BUFFER }

    /** Drops an incomplete body and what it has reserved. */
    fun drop(now: Long) {
        if (data.refCnt() > 0) data.release()
        data = Unpooled.EMPTY_BUFFER
        release(now)
    }

    /** Releases what has been reserved, because the call has ended. */
    fun release(now: Long) {
        if (reservedBytes > 0) budget.release(reservedBytes, now)
        reservedBytes = 0
    }
}
