/*
 * One connection of the HTTP client; it carries one call at a time. Reading stops while the collector of the body is behind.
 */
package io.skylarkstile.transport.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
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
    private val ahead: ReadAhead,
) : ChannelInboundHandlerAdapter() {
    @Volatile
    private var call: ClientCall? = null
    private var keepAlive = false

    /** Sends [message] unless [beforeSend] objects; returns whether it was sent. The check and the write run together on the event loop. */
    suspend fun send(
        next: ClientCall,
        message: FullHttpRequest,
        beforeSend: () -> Boolean,
    ): Boolean {
        val sent = CompletableDeferred<Boolean>()
        channel.eventLoop().execute {
            if (!channel.isActive) {
                message.release()
                next.head.complete(ClientHead.Closed(sent = false))
                sent.complete(true)
            } else if (beforeSend()) {
                call = next
                channel.writeAndFlush(message).addListener { if (!it.isSuccess) channel.close() }
                sent.complete(true)
            } else {
                message.release()
                sent.complete(false)
            }
        }
        return sent.await()
    }

    /** Is told that the collector has taken [bytes] bytes. */
    fun consumed(
        of: ClientCall,
        bytes: Int,
    ) {
        val left = of.buffered.addAndGet(-bytes)
        ahead.add(-bytes)
        val isBehind = left > 0 && (left >= LOW_BYTES || ahead.isFull)
        if (!isBehind && !channel.config().isAutoRead) channel.config().isAutoRead = true
    }

    /** Is told that nothing more of the body is wanted. */
    fun abandoned(of: ClientCall) = channel.eventLoop().execute {
        of.isAbandoned = true
        ahead.add(-of.buffered.getAndSet(0))
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
        val open = call ?: return
        call = null
        open.head.complete(ClientHead.Closed(sent = true))
        open.parts.close()
    }

    @Deprecated("Netty's name for this event")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    private fun receive(message: HttpObject) {
        val open = call
        if (open == null || message.decoderResult().isFailure) {
            channel.close()
            return
        }
        if (message is HttpResponse) begin(open, message)
        if (message is HttpContent) append(open, message)
        if (message is LastHttpContent) finish(open)
    }

    private fun begin(
        open: ClientCall,
        response: HttpResponse,
    ) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        keepAlive = HttpUtil.isKeepAlive(response)
        val length = if (HttpUtil.isContentLengthSet(response)) HttpUtil.getContentLength(response) else null
        open.head.complete(ClientHead.Arrived(response.status().code(), HttpHeaders(response.headers().map { it.key to it.value }), length))
    }

    private fun append(
        open: ClientCall,
        content: HttpContent,
    ) {
        val n = content.content().readableBytes()
        if (n == 0 || !open.head.isCompleted || open.isAbandoned) return
        ahead.add(n)
        // Reading stops before the part is handed over, so that the collector of the last part always starts it again.
        if (open.buffered.addAndGet(n) > HIGH_BYTES || ahead.isFull) channel.config().isAutoRead = false
        open.parts.trySend(ByteBufUtil.getBytes(content.content()))
    }

    private fun finish(open: ClientCall) {
        if (!open.head.isCompleted) return
        call = null
        open.reusable = keepAlive
        open.complete = true
        open.parts.close()
    }

    private companion object {
        const val HIGH_BYTES = 262_144
        const val LOW_BYTES = 65_536
    }
}
