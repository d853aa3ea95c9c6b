/*
 * Decodes the responses on a connection to a target. Bytes are decoded only while a response may come, so that a part of a response that
 * arrives too late can't be completed by the next one.
 */
package io.skylarkstile.gateway.relay

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes responses, among them those to HEAD requests, and counts their bytes. Runs on the event loop. */
internal class TargetResponseDecoder : HttpResponseDecoder() {
    /** Asked before bytes are decoded; if it returns false, they are dropped. */
    var mayDecode: (ByteBuf) -> Boolean = { true }
    private var isBodyless = false

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
        } else {
            super.decode(ctx, buffer, out)
        }
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isBodyless || super.isContentAlwaysEmpty(message)

    /** A response with both framings was made of two, or one of its readers would end it elsewhere. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and chunked transfer encoding")
}
