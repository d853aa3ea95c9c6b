/*
 * Tells whether a stream of server-sent events has ended between two events. A stream that ends inside an event has been broken off, even if
 * its response looks complete.
 */
package io.skylarkstile.gateway.relay

import io.netty.buffer.ByteBuf

private const val LF = '\n'.code.toByte()
private const val CR = '\r'.code.toByte()

/** Line feeds that end an event: that of its last line and that of the empty line. */
private const val LINE_FEEDS = 2

/** Follows the end of a stream that is forwarded as it comes. Not thread-safe. */
internal class EventBoundary {
    /** Number of line feeds at the end, carriage returns apart; an empty stream is at a boundary. */
    private var lineFeeds = LINE_FEEDS
    val isInsideEvent: Boolean get() = lineFeeds < LINE_FEEDS

    /** Records the bytes of [data] without reading them. */
    fun add(data: ByteBuf) {
        var index = data.writerIndex() - 1
        var count = 0
        while (index >= data.readerIndex() && count < LINE_FEEDS) {
            when (data.getByte(index--)) {
                LF -> count++
                CR -> Unit
                else -> return set(count)
            }
        }
        set(if (count < LINE_FEEDS) count + lineFeeds else count)
    }

    private fun set(count: Int) {
        lineFeeds = minOf(count, LINE_FEEDS)
    }
}
