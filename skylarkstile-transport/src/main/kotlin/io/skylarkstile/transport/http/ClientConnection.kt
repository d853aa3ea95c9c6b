/*
 * One connection of the HTTP client, which carries one call at a time. Reading pauses while the collector of the body is behind.
 */
package io.skylarkstile.transport.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred

internal class ClientConnection(
    val channel: Channel,
    private val readAhead: ReadAheadBudget,
) : ChannelInboundHandlerAdapter() {
    @Volatile
    private var call: ClientCall? = null
    private var keepAlive = false
    private var requestSent: ChannelFuture? = null
    private var endsWithConnection = false

    /** True after a failed read: the decoder reports the end of a response without a length even then. */
    private var isBroken = false

    /** Sends [message] unless [beforeSend] returns `false`; returns whether it was sent. Check and write are one task on the event loop. */
    suspend fun send(
        newCall: ClientCall,
        message: FullHttpRequest,
        beforeSend: () -> Boolean,
    ): Boolean {
        val sent = CompletableDeferred<Boolean>()
        channel.eventLoop().execute {
            if (!channel.isActive) {
                message.release()
                newCall.head.complete(ResponseHead.Closed(sent = false))
                sent.complete(true)
            } else if (beforeSend()) {
                call = newCall
                requestSent = channel.writeAndFlush(message).addListener { if (!it.isSuccess) channel.close() }
                sent.complete(true)
            } else {
                message.release()
                sent.complete(false)
            }
        }
        return sent.await()
    }

    /** Records that the collector has consumed [bytes] bytes, and resumes reading if needed. */
    fun bodyConsumed(
        owner: ClientCall,
        bytes: Int,
    ) {
        val left = owner.buffered.addAndGet(-bytes)
        readAhead.add(-bytes)
        val isCollectorBehind = left > 0 && (left >= LOW_WATERMARK_BYTES || readAhead.isFull)
        if (!isCollectorBehind && !channel.config().isAutoRead) channel.config().isAutoRead = true
    }

    /** Records that the rest of the body is no longer needed. */
    fun bodyAbandoned(owner: ClientCall) = channel.eventLoop().execute {
        owner.isBodyAbandoned = true
        readAhead.add(-owner.buffered.getAndSet(0))
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpObject) receive(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        val current = call ?: return
        call = null
        current.head.complete(ResponseHead.Closed(sent = true))
        current.bodyParts.close()
    }

    @Deprecated("Netty's name for this event")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        isBroken = true
        ctx.close()
    }

    private fun receive(message: HttpObject) {
        val current = call
        if (current == null || message.decoderResult().isFailure) {
            channel.close()
            return
        }
        if (message is HttpResponse) receiveHead(current, message)
        if (message is HttpContent) receiveBody(current, message)
        if (message is LastHttpContent) completeCall(current)
    }

    private fun receiveHead(
        current: ClientCall,
        response: HttpResponse,
    ) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        keepAlive = HttpUtil.isKeepAlive(response)
        val length = if (HttpUtil.isContentLengthSet(response)) HttpUtil.getContentLength(response) else null
        endsWithConnection = length == null && !HttpUtil.isTransferEncodingChunked(response)
        current.head.complete(
            ResponseHead.Received(response.status().code(), HttpHeaders(response.headers().map { it.key to it.value }), length),
        )
    }

    private fun receiveBody(
        current: ClientCall,
        content: HttpContent,
    ) {
        val n = content.content().readableBytes()
        if (n == 0 || !current.head.isCompleted || current.isBodyAbandoned) return
        readAhead.add(n)
        // Reading is paused before the part is passed on, so that the collector always resumes it after consuming the last part.
        if (current.buffered.addAndGet(n) > HIGH_WATERMARK_BYTES || readAhead.isFull) channel.config().isAutoRead = false
        current.bodyParts.trySend(ByteBufUtil.getBytes(content.content()))
    }

    private fun completeCall(current: ClientCall) {
        if (!current.head.isCompleted) return
        val isSent = requestSent?.isSuccess == true
        // A reset that meets the sending of the request isn't reported as a failed read.
        if (endsWithConnection && !channel.isActive && (isBroken || !isSent)) return
        call = null
        current.reusable = keepAlive && isSent
        current.complete = true
        current.bodyParts.close()
    }

    private companion object {
        const val HIGH_WATERMARK_BYTES = 262_144
        const val LOW_WATERMARK_BYTES = 65_536
    }
}
