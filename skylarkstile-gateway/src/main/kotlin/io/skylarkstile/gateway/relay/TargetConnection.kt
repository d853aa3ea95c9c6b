/*
 * One connection to a target: one call at a time. An answer that belongs to another call is skipped, and a connection on which anything
 * comes between calls is closed, since those bytes belong to no call.
 */
package io.skylarkstile.gateway.relay

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.skylarkstile.gateway.model.AnswerHead

/** Receives the answer to one call. */
interface AnswerListener {
    fun head(
        head: AnswerHead,
        response: HttpResponse,
    )

    /** Takes a part of the body; the buffer is released afterwards. */
    fun content(data: ByteBuf)

    /** Marks the end of a group of parts that arrived together. */
    fun flush()

    /** The answer is whole. */
    fun complete()

    /** The connection ended before the answer was whole. */
    fun broken(reason: String)
}

/** Decodes answers; one to a HEAD request has no body. */
internal class TargetAnswerDecoder : HttpResponseDecoder() {
    var isBodyless = false

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean = isBodyless || super.isContentAlwaysEmpty(message)
}

/** Handles one connection; [codec] reads the answers. Runs on the event loop. */
internal class TargetConnection(
    private val codec: CallCodec,
    private val decoder: TargetAnswerDecoder,
) : ChannelInboundHandlerAdapter() {
    lateinit var channel: Channel
        private set
    private var callId: String? = null
    private var listener: AnswerListener? = null
    private var written: ChannelFuture? = null
    private var answer: AnswerHead? = null
    private var isSkipping = false
    private var calls = 0
    private var isClosing = false
    private var failure: String? = null

    /** Called when the connection can take another call; the argument is how long the target keeps it open, in milliseconds. */
    var onFree: (Long?) -> Unit = {}
    val isUsable: Boolean get() = channel.isActive && listener == null && !isClosing

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
    }

    /** Sends one request; its answer goes to [listener]. */
    fun send(
        callId: String,
        method: HttpMethod,
        uri: String,
        headers: HttpHeaders,
        body: ByteBuf,
        listener: AnswerListener,
    ) {
        this.callId = callId
        this.listener = listener
        calls++
        answer = null
        decoder.isBodyless = method == HttpMethod.HEAD
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, headers)
        if (body.isReadable ||
            method == HttpMethod.POST ||
            method == HttpMethod.PUT
        ) {
            HttpUtil.setContentLength(request, body.readableBytes().toLong())
        }
        channel.write(request)
        written = channel.writeAndFlush(DefaultLastHttpContent(body))
    }

    /** Ends the connection because its call is no longer wanted. */
    fun abandon() {
        listener = null
        isClosing = true
        channel.close()
    }

    /** Stops or continues reading, as the caller takes the answer. */
    fun setReading(on: Boolean) {
        channel.config().isAutoRead = on
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpResponse) head(message)
            if (message is HttpContent) content(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun head(response: HttpResponse) {
        val receiver = listener
        if (receiver == null || response.decoderResult().isFailure) {
            failure = "bytes that are no answer"
            isClosing = true
            channel.close()
            return
        }
        val head = codec.readAnswer(response)
        isSkipping = head.status < FIRST_FINAL_STATUS || (head.callId != null && head.callId != callId)
        if (isSkipping) return
        if (isDoubtful(head)) {
            failure = "a success that names no call, on a connection that was used before"
            channel.close()
            return
        }
        answer = head
        if (!HttpUtil.isKeepAlive(response)) isClosing = true
        receiver.head(head, response)
    }

    /** A target may answer twice, so a success that doesn't say to which call could belong to the one before. */
    private fun isDoubtful(head: AnswerHead): Boolean = calls > 1 && head.callId == null && head.status in SUCCESSES

    private fun content(part: HttpContent) {
        val receiver = listener
        if (part.decoderResult().isFailure) {
            failure = "malformed body"
            channel.close()
            return
        }
        if (isSkipping || receiver == null || answer == null) return
        if (part.content().isReadable) receiver.content(part.content())
        if (part is LastHttpContent && failure == null) finish(receiver)
    }

    private fun finish(receiver: AnswerListener) {
        listener = null
        // An answer that came before the whole request was sent leaves the rest on the connection.
        if (written?.isDone != true) isClosing = true
        val keepAliveMs = answer?.keepAliveMs
        receiver.complete()
        if (isClosing) channel.close() else onFree(keepAliveMs)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        listener?.flush()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosing = true
        val receiver = listener ?: return
        listener = null
        receiver.broken(failure ?: "connection closed by the target")
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        failure = "connection failed: ${cause.message}"
        ctx.close()
    }

    private companion object {
        const val FIRST_FINAL_STATUS = 200
        val SUCCESSES = 200..299
    }
}

/** Makes a body part for a caller from [data], which stays the property of its owner. */
internal fun partOf(data: ByteBuf): HttpContent = DefaultHttpContent(data.retainedDuplicate())
