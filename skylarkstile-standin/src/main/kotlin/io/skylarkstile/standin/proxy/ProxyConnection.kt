/*
 * Forwards one proxied connection. Both sockets are registered with the same event loop, and all state is confined to that loop.
 */
package io.skylarkstile.standin.proxy

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder

internal class ProxyConnection(
    private val caller: Channel,
    private val callerOf: (String) -> String?,
    private val faultsOf: (String?) -> LinkFaults,
    private val bytesToTarget: LongAdder,
    private val bytesFromTarget: LongAdder,
) {
    /** Name of the caller, known once its first bytes have been received. */
    @Volatile
    var callerOrNull: String? = null
        private set
    private var toTarget: Pipe? = null
    private var fromTarget: Pipe? = null
    private var target: Channel? = null

    /** Starts forwarding between the caller and the target's [channel]. */
    fun attachTarget(channel: Channel) {
        if (!caller.isActive) {
            channel.close()
            return
        }
        target = channel
        val forward = Pipe(caller, channel, ::delayNanos, bytesToTarget)
        val backward = Pipe(channel, caller, ::delayNanos, bytesFromTarget)
        toTarget = forward
        fromTarget = backward
        caller.pipeline().addLast(CallerHandler(), PipeHandler(forward, backward))
        channel.pipeline().addLast(PipeHandler(backward, forward))
        forward.updateReading()
        backward.updateReading()
    }

    fun close() = runOnEventLoop {
        caller.close()
        target?.close()
    }

    /** Stops forwarding in [direction] without closing the connection. */
    fun silence(direction: Silence) = runOnEventLoop {
        if (direction != Silence.FromTarget) toTarget?.silence(true)
        if (direction != Silence.ToTarget) fromTarget?.silence(true)
    }

    /** Resumes a silenced connection, or closes a half-open one, which has no target. */
    fun heal() = runOnEventLoop {
        if (target == null) caller.close()
        toTarget?.silence(false)
        fromTarget?.silence(false)
    }

    private fun delayNanos(): Long = nanosOf(faultsOf(callerOrNull).delayMs)

    /** Identifies the caller by its first bytes and applies the faults configured for it. */
    private inner class CallerHandler : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            message: Any,
        ) {
            callerOrNull = callerOf((message as ByteBuf).toString(Charsets.ISO_8859_1))
            ctx.pipeline().remove(this)
            val faults = faultsOf(callerOrNull)
            if (faults.halfOpen) silence(Silence.Both)
            if (faults.cut || faults.halfOpen) message.release() else ctx.fireChannelRead(message)
            if (faults.cut) close()
        }
    }

    private fun runOnEventLoop(run: () -> Unit) {
        caller.eventLoop().execute(run)
    }
}

/** Passes the bytes that a socket receives to [pipe], and notifies the [opposite] pipe when the socket becomes writable again. */
private class PipeHandler(
    private val pipe: Pipe,
    private val opposite: Pipe,
) : ChannelInboundHandlerAdapter() {
    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) = pipe.add(message as ByteBuf)

    override fun channelInactive(ctx: ChannelHandlerContext) = pipe.end()

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) = opposite.updateReading()

    @Deprecated("Deprecated in Netty, but still the callback for exceptions")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }
}

/** Forwards bytes in one direction, each buffer after the delay that was configured when it arrived. */
private class Pipe(
    private val from: Channel,
    private val to: Channel,
    private val delayNanos: () -> Long,
    private val forwarded: LongAdder,
) {
    /** Represents a delayed buffer; [bytes] is `null` for the end of the connection. */
    private class DelayedBuffer(
        val due: Long,
        val bytes: ByteBuf?,
    )

    private val delayedBuffers = ArrayDeque<DelayedBuffer>()
    private var bufferedBytes = 0
    private var silent = false

    fun add(bytes: ByteBuf) {
        if (!to.isActive) {
            bytes.release()
            return
        }
        bufferedBytes += bytes.readableBytes()
        enqueue(bytes)
    }

    fun end() = enqueue(null)

    fun silence(on: Boolean) {
        silent = on
        drain()
    }

    /** Reads only while bytes can be forwarded, so that a silenced or slow direction applies backpressure to its sender like a network. */
    fun updateReading() {
        from.config().isAutoRead = !silent && to.isWritable && bufferedBytes < MAX_BUFFERED_BYTES
    }

    private fun enqueue(bytes: ByteBuf?) {
        // If the delay was reduced in the meantime, later bytes must still not overtake earlier ones.
        val due = maxOf(System.nanoTime() + delayNanos(), delayedBuffers.lastOrNull()?.due ?: Long.MIN_VALUE)
        delayedBuffers.addLast(DelayedBuffer(due, bytes))
        drain()
    }

    private fun drain() {
        var wrote = false
        while (!silent && delayedBuffers.isNotEmpty() && delayedBuffers.first().due <= System.nanoTime()) {
            val bytes = delayedBuffers.removeFirst().bytes
            if (bytes == null) {
                to.flush()
                to.close()
                return
            }
            bufferedBytes -= bytes.readableBytes()
            forwarded.add(bytes.readableBytes().toLong())
            to.write(bytes)
            wrote = true
        }
        if (wrote) to.flush()
        if (!silent && delayedBuffers.isNotEmpty()) scheduleDrain(delayedBuffers.first().due)
        updateReading()
    }

    private fun scheduleDrain(due: Long) {
        from.eventLoop().schedule(::drain, maxOf(0, due - System.nanoTime()), TimeUnit.NANOSECONDS)
    }
}

private const val MAX_BUFFERED_BYTES = 1_048_576
