/*
 * Decodes the responses on a connection to a server. Bytes are decoded only while a response may come, so that a part of a response that
 * arrives too late can't be completed by the next one.
 */
package io.skylarkstile.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/** Decodes responses, among them those to HEAD requests, and counts their bytes. Runs on the event loop. */
class ResponseDecoder(
    maxLineBytes: Int = DEFAULT_MAX_INITIAL_LINE_LENGTH,
    maxHeaderBytes: Int = DEFAULT_MAX_HEADER_SIZE,
    maxChunkBytes: Int = DEFAULT_MAX_CHUNK_SIZE,
) : HttpResponseDecoder(maxLineBytes, maxHeaderBytes, maxChunkBytes) {
    /** Asked before bytes are decoded; if it returns false, they are dropped. */
    var mayDecode: (ByteBuf) -> Boolean = { true }
    private var isBodyless = false

    /** True from a head that announces chunks to the end of its response. */
    private var isChunked = false

    private var isInsideHead = true

    /** Number of status lines, or parts of lines that look like one, in the head that is read. */
    private var statusLines = 0

    /** Number of bytes that have arrived since the last request was sent. */
    var receivedBytes = 0L
        private set

    /** Value of [receivedBytes] at the end of the last response that was skipped. */
    private var skippedBytes = 0L

    /** True while bytes have arrived since the request or the last skipped response. */
    val hasUndecidedBytes: Boolean get() = receivedBytes > skippedBytes

    /** Begins an exchange; [method] is that of its request. */
    fun requestSent(method: HttpMethod) {
        isBodyless = method == HttpMethod.HEAD
        receivedBytes = 0
        skippedBytes = 0
    }

    /** Records the end of a response that was skipped. */
    fun responseSkipped() {
        skippedBytes = receivedBytes - actualReadableBytes()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is ByteBuf) receivedBytes += message.readableBytes()
        super.channelRead(ctx, message)
    }

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (buffer.isReadable && !mayDecode(buffer)) {
            buffer.skipBytes(buffer.readableBytes())
            return
        }
        val start = buffer.readerIndex()
        val count = out.size
        super.decode(ctx, buffer, out)
        val decoded = out.getOrNull(count)
        if (isInsideHead) statusLines += statusLinesIn(buffer, start)
        if (decoded is HttpMessage) {
            isChunked = HttpUtil.isTransferEncodingChunked(decoded)
            endHead(decoded)
        } else if (isChunked && (decoded == null || decoded is LastHttpContent)) {
            if (containsStatusLineStart(buffer.slice(start, buffer.readerIndex() - start))) endMalformed(out, count)
        }
        if (out.lastOrNull() is LastHttpContent) {
            isInsideHead = true
            isChunked = false
        }
    }

    /**
     * Fails a head with more than one status line: the start of a response that was cut off is followed by the whole head of the next one. The
     * bytes are searched, since the decoder drops what stands between the name of a header and its colon. A header that quotes a status line
     * fails, too: it can't be told from such a head.
     */
    private fun endHead(head: HttpMessage) {
        if (statusLines > 1) head.decoderResult = DecoderResult.failure(IllegalArgumentException("two status lines in a head"))
        statusLines = 0
        isInsideHead = false
    }

    private fun statusLinesIn(
        buffer: ByteBuf,
        start: Int,
    ): Int {
        var count = 0
        var index = start
        while (true) {
            index = buffer.indexOf(index, buffer.readerIndex(), STATUS_LINE_FIRST)
            if (index < 0) return count
            if (isStatusLineAt(buffer, index)) count++
            index++
        }
    }

    /** Returns whether `HTTP/1.`, a digit, a space and three digits stand at [index]. */
    private fun isStatusLineAt(
        buffer: ByteBuf,
        index: Int,
    ): Boolean {
        if (index + STATUS_LINE_PATTERN.length > buffer.readerIndex()) return false
        return STATUS_LINE_PATTERN.indices.all { offset ->
            val char = buffer.getByte(index + offset).toInt().toChar()
            if (STATUS_LINE_PATTERN[offset] == ANY_DIGIT) char in '0'..'9' else char == STATUS_LINE_PATTERN[offset]
        }
    }

    /**
     * Ends a response whose chunk sizes or trailers contain the start of another one: the decoder takes it for an extension of the chunk or for
     * a trailer, and the response would look complete.
     */
    private fun endMalformed(
        out: MutableList<Any>,
        count: Int,
    ) {
        while (out.size > count) ReferenceCountUtil.release(out.removeAt(count))
        val end = DefaultLastHttpContent(Unpooled.EMPTY_BUFFER)
        end.decoderResult = DecoderResult.failure(IllegalArgumentException("a status line within the chunks of a response"))
        out.add(end)
    }

    private fun containsStatusLineStart(data: ByteBuf): Boolean =
        data.readableBytes() >= statusLineStart.readableBytes() && ByteBufUtil.indexOf(statusLineStart, data) >= 0

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isBodyless || super.isContentAlwaysEmpty(message)

    /** A response with both framings was made of two, or one of its readers would end it elsewhere. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and chunked transfer encoding")

    private companion object {
        const val ANY_DIGIT = '#'
        const val STATUS_LINE_PATTERN = "HTTP/1.# ###"
        const val STATUS_LINE_FIRST = 'H'.code.toByte()
        val statusLineStart: ByteBuf = Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(STATUS_LINE_START, Charsets.US_ASCII)).asReadOnly()
    }
}
