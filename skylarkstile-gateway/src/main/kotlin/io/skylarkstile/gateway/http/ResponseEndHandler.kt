/*
 * Decides whether the end of a connection is the end of a response. A response without a length or chunks ends with its connection, and the
 * decoder reports such an end in the same way after a reset. A reset that meets a write isn't reported as a failed read, so the absence of an
 * error doesn't show that the response is complete; only an end after the whole request has been sent does.
 */
package io.skylarkstile.gateway.http

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

private const val NO_CONTENT = 204
private const val NOT_MODIFIED = 304

/** Returns whether the response has neither a length nor chunks; its body, if it has one, ends with the connection. */
fun HttpResponse.hasNoLength(): Boolean = !HttpUtil.isContentLengthSet(this) && !HttpUtil.isTransferEncodingChunked(this)

/**
 * Passes the end of a response that ends with its connection on when the whole request has been sent, and drops it if that fails: the next
 * handler then sees an incomplete response on a closed connection. Belongs behind the decoder of a client's connection. With half-closure
 * allowed, a server may end its response first and read the rest of the request afterwards.
 */
internal class ResponseEndHandler : ChannelDuplexHandler() {
    private var requestSent: ChannelFuture? = null
    private var isHeadRequest = false
    private var endsWithConnection = false
    private var isEndHeldBack = false
    private var isBroken = false

    override fun write(
        ctx: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (message is HttpRequest) isHeadRequest = message.method() == HttpMethod.HEAD
        if (message is LastHttpContent) requestSent = promise
        ctx.write(message, promise)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (message is HttpResponse) endsWithConnection = message.hasNoLength() && mayHaveBody(message)
        if (message is LastHttpContent && endsWithConnection) passOnWhenSent(ctx, message) else ctx.fireChannelRead(message)
    }

    private fun mayHaveBody(response: HttpResponse): Boolean {
        val status = response.status()
        val isBodyless = status.code() == NO_CONTENT || status.code() == NOT_MODIFIED || status.codeClass() == HttpStatusClass.INFORMATIONAL
        return !isHeadRequest && !isBodyless
    }

    private fun passOnWhenSent(
        ctx: ChannelHandlerContext,
        end: LastHttpContent,
    ) {
        val sent = requestSent
        when {
            isBroken || sent == null || (sent.isDone && !sent.isSuccess) -> ReferenceCountUtil.release(end)
            sent.isSuccess -> ctx.fireChannelRead(end)
            else -> holdBack(ctx, end, sent)
        }
    }

    private fun holdBack(
        ctx: ChannelHandlerContext,
        end: LastHttpContent,
        sent: ChannelFuture,
    ) {
        isEndHeldBack = true
        sent.addListener {
            if (it.isSuccess && !isBroken) {
                ctx.fireChannelRead(end)
                ctx.fireChannelReadComplete()
            } else {
                ReferenceCountUtil.release(end)
                ctx.close()
            }
        }
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        if (event is ChannelInputShutdownEvent && !isEndHeldBack) ctx.close()
        ctx.fireUserEventTriggered(event)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        isBroken = true
        ctx.fireExceptionCaught(cause)
    }
}
