/*
 * Closes connections that send a request too slowly or that stay idle between requests. It sits before the decoder, since the
 * decoder shows a request only when its whole head has arrived.
 */
package io.skylarkstile.transport.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

internal class RequestTimer(
    private val readTimeoutMs: Long,
    private val idleTimeoutMs: Long,
    /** Is asked whether this many more bytes may be held; they are dropped otherwise. */
    private val admit: (Int) -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private enum class State { IDLE, RECEIVING, ANSWERING }

    private var state = State.IDLE
    private var timeout: ScheduledFuture<*>? = null
    private lateinit var context: ChannelHandlerContext

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        arm(idleTimeoutMs)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (state == State.IDLE) {
            state = State.RECEIVING
            arm(readTimeoutMs)
        }
        if (message is ByteBuf && !admit(message.readableBytes())) message.release() else ctx.fireChannelRead(message)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timeout?.cancel(false)
        ctx.fireChannelInactive()
    }

    /** Is told that a whole request has arrived. */
    fun received() {
        state = State.ANSWERING
        timeout?.cancel(false)
    }

    /** Is told that all received requests are answered. */
    fun idle() {
        state = State.IDLE
        arm(idleTimeoutMs)
    }

    private fun arm(afterMs: Long) {
        timeout?.cancel(false)
        timeout = context.executor().schedule({ context.close() }, afterMs, TimeUnit.MILLISECONDS)
    }
}
