/*
 * Decodes the requests of clients that aren't trusted. Objects for a request are created only when its whole head has arrived and the one before
 * it is answered, since many short fields take a hundred times the memory of their bytes.
 */
package io.skylarkstile.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

private const val CHUNK_BYTES = 8_192
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val LAST_ASCII_BLANK = 0x20
private val LATER_CONTROL_CHARS = 0x7f..0x9f

/** Requests of one connection that are decoded before other connections have their turn. */
private const val MAX_REQUESTS_PER_TURN = 16

/**
 * Decodes requests with a request line and header fields of up to [headerBytes] bytes each; while [isPaused] returns true, no further request is
 * decoded and no more is read. A request with both a length and chunks is rejected: the two ends could disagree about where it ends.
 */
internal class StrictRequestDecoder(
    private val headerBytes: Int,
    private val isPaused: () -> Boolean,
) : HttpRequestDecoder(headerBytes, headerBytes, CHUNK_BYTES) {
    /** Says what comes next in the stream of bytes. */
    private enum class Position { Head, Body, Trailers }

    private var position = Position.Head
    private lateinit var ctx: ChannelHandlerContext

    /** Bytes of the incomplete head or trailers that have been searched for their end, so that none is searched twice. */
    private var searchedBytes = 0

    /** True while received bytes are decoded; what the handler of a request does then must not decode any further. */
    private var isDecoding = false

    private var requestsInTurn = 0
    private var isTurnOver = false

    /** True if bytes have arrived that belong to no decoded request yet. */
    private val hasUnreadBytes: Boolean get() = actualReadableBytes() > 0

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        isDecoding = true
        try {
            super.channelRead(ctx, message)
        } finally {
            isDecoding = false
        }
        // Without unread bytes, reading goes on, since it also shows that the client has left.
        ctx.channel().config().isAutoRead = !((isTurnOver || isPaused()) && hasUnreadBytes)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (!isTurnOver) requestsInTurn = 0
        super.channelReadComplete(ctx)
    }

    /** Goes on after a pause. */
    fun resume() {
        if (!isDecoding) channelRead(ctx, Unpooled.EMPTY_BUFFER)
    }

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        when (position) {
            Position.Head -> decodeHead(ctx, buffer, out)
            Position.Body -> decodeBody(ctx, buffer, out)
            Position.Trailers -> if (isWhole(buffer, startsAtLine = true)) decodeBody(ctx, buffer, out)
        }
    }

    private fun decodeHead(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (isTurnOver || isPaused()) return
        if (requestsInTurn >= MAX_REQUESTS_PER_TURN) return endTurn()
        if (searchedBytes == 0) skipControlChars(buffer)
        if (!isWhole(buffer, startsAtLine = false)) return
        searchedBytes = 0
        super.decode(ctx, buffer, out)
        if (out.isEmpty()) return
        requestsInTurn++
        position = if (out.last() is LastHttpContent) Position.Head else Position.Body
    }

    /** Goes on when the other connections have had their turn: requests sent ahead would otherwise occupy the event loop for seconds. */
    private fun endTurn() {
        isTurnOver = true
        ctx.executor().execute {
            isTurnOver = false
            requestsInTurn = 0
            resume()
        }
    }

    private fun decodeBody(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        searchedBytes = 0
        val begin = buffer.readerIndex()
        super.decode(ctx, buffer, out)
        when {
            out.lastOrNull() is LastHttpContent -> position = Position.Head
            out.isEmpty() && isLastChunkSize(buffer, begin) -> position = Position.Trailers
        }
    }

    /** Skips what the decoder would skip before a request, so that a line end there isn't taken for that of a head. */
    private fun skipControlChars(buffer: ByteBuf) {
        while (buffer.isReadable) {
            val byte = buffer.getUnsignedByte(buffer.readerIndex()).toInt()
            if (byte > LAST_ASCII_BLANK && byte !in LATER_CONTROL_CHARS) return
            buffer.skipBytes(1)
        }
    }

    /**
     * Returns whether [buffer] holds the empty line that ends a head or, if [startsAtLine] is set, trailers. What is longer than any head passes
     * too: the decoder rejects it.
     */
    private fun isWhole(
        buffer: ByteBuf,
        startsAtLine: Boolean,
    ): Boolean {
        val begin = buffer.readerIndex()
        if (startsAtLine && searchedBytes == 0 && isLineEnd(buffer, begin)) return true
        var at = begin + searchedBytes
        while (at < buffer.writerIndex()) {
            val end = buffer.indexOf(at, buffer.writerIndex(), LINE_FEED)
            if (end < 0) break
            if (isLineEnd(buffer, end + 1)) return true
            at = end + 1
        }
        // The last bytes may be the begin of a line end, so they are searched again.
        searchedBytes = maxOf(0, buffer.readableBytes() - LINE_END_BYTES)
        if (buffer.readableBytes() <= 2 * headerBytes) return false
        if (startsAtLine) throw TooLongFrameException("trailers of more than ${2 * headerBytes} bytes")
        return true
    }

    private fun isLineEnd(
        buffer: ByteBuf,
        at: Int,
    ): Boolean {
        if (at >= buffer.writerIndex()) return false
        if (buffer.getByte(at) == LINE_FEED) return true
        return buffer.getByte(at) == CARRIAGE_RETURN && at + 1 < buffer.writerIndex() && buffer.getByte(at + 1) == LINE_FEED
    }

    /** Returns whether the bytes that were decoded from [begin] on are the size of the last chunk, after which trailers follow. */
    private fun isLastChunkSize(
        buffer: ByteBuf,
        begin: Int,
    ): Boolean {
        val end = buffer.readerIndex()
        if (end <= begin) return false
        val size = buffer.toString(begin, end - begin, Charsets.US_ASCII).substringBefore(';').trim()
        return size.isNotEmpty() && size.all { it == '0' }
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and chunked transfer encoding")

    private companion object {
        /** Bytes of the longest empty line with the line feed before it. */
        const val LINE_END_BYTES = 3
    }
}
