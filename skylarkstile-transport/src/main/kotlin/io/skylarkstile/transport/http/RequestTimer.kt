/*
 * Closes connections that send a request too slowly or stay idle between requests. It is placed before the decoder in the
 * pipeline, since the decoder reports a request only when its complete head has arrived.
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
    /** Reserves memory for this many received bytes; they are dropped when it returns `false`. */
    private val reserve: (Int) -> Boolean,
) : ChannelInboundHandlerAdapter() {
    private enum class State { IDLE, RECEIVING, ANSWERING }

    private var state = State.IDLE
    private var timeout: ScheduledFuture<*>? = null
    private lateinit var context: ChannelHandlerContext

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        scheduleClose(idleTimeoutMs)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (state == State.IDLE) {
            state = State.RECEIVING
            scheduleClose(readTimeoutMs)
        }
        if (message is ByteBuf && !reserve(message.readableBytes())) message.release() else ctx.fireChannelRead(message)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timeout?.cancel(false)
        ctx.fireChannelInactive()
    }

    /** Records that a complete request has been received. */
    fun requestReceived() {
        state = State.ANSWERING
        timeout?.cancel(false)
    }

    /** Records that all received requests have been answered. */
    fun requestsAnswered() {
        state = State.IDLE
        scheduleClose(idleTimeoutMs)
    }

    private fun scheduleClose(afterMs: Long) {
        timeout?.cancel(false)
        timeout = context.executor().schedule({ context.close() }, afterMs, TimeUnit.MILLISECONDS)
    }
}
