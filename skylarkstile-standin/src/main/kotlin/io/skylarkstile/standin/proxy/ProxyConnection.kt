/*
 * One proxied connection. Both of its sockets belong to one event loop, and all state is used on that loop only.
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
    /** Name of the caller once its first bytes have told it. */
    @Volatile
    var callerOrNull: String? = null
        private set
    private var toTarget: Pipe? = null
    private var fromTarget: Pipe? = null
    private var target: Channel? = null

    /** Begins to forward between the caller and [channel]. */
    fun join(channel: Channel) {
        if (!caller.isActive) {
            channel.close()
            return
        }
        target = channel
        val there = Pipe(caller, channel, ::delayNanos, bytesToTarget)
        val back = Pipe(channel, caller, ::delayNanos, bytesFromTarget)
        toTarget = there
        fromTarget = back
        caller.pipeline().addLast(CallerHandler(), PipeHandler(there, back))
        channel.pipeline().addLast(PipeHandler(back, there))
        there.updateReading()
        back.updateReading()
    }

    fun close() = onLoop {
        caller.close()
        target?.close()
    }

    fun silence(direction: Silence) = onLoop {
        if (direction != Silence.FromTarget) toTarget?.silence(true)
        if (direction != Silence.ToTarget) fromTarget?.silence(true)
    }

    /** Lets a silenced connection go on; a half-open one has no target and is closed. */
    fun heal() = onLoop {
        if (target == null) caller.close()
        toTarget?.silence(false)
        fromTarget?.silence(false)
    }

    private fun delayNanos(): Long = nanosOf(faultsOf(callerOrNull).delayMs)

    /** Reads the caller's name from its first bytes and applies the faults that are in force for it. */
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

    private fun onLoop(run: () -> Unit) {
        caller.eventLoop().execute(run)
    }
}

/** Feeds [pipe] with what a socket receives, and tells the [opposite] pipe when this socket takes bytes again. */
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

    @Deprecated("Netty's name for this event")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }
}

/** Forwards bytes in one direction, each part after the delay in force when it arrived. */
private class Pipe(
    private val from: Channel,
    private val to: Channel,
    private val delayNanos: () -> Long,
    private val forwarded: LongAdder,
) {
    /** A part on its way; the end of the connection has no [bytes]. */
    private class Part(
        val due: Long,
        val bytes: ByteBuf?,
    )

    private val parts = ArrayDeque<Part>()
    private var held = 0
    private var silent = false

    fun add(bytes: ByteBuf) {
        if (!to.isActive) {
            bytes.release()
            return
        }
        held += bytes.readableBytes()
        enqueue(bytes)
    }

    fun end() = enqueue(null)

    fun silence(on: Boolean) {
        silent = on
        drain()
    }

    /** Reads only while bytes can be passed on, so that a silenced or slow direction holds up its sender as a network does. */
    fun updateReading() {
        from.config().isAutoRead = !silent && to.isWritable && held < MAX_HELD_BYTES
    }

    private fun enqueue(bytes: ByteBuf?) {
        // A delay that was shortened meanwhile must not let later bytes overtake earlier ones.
        val due = maxOf(System.nanoTime() + delayNanos(), parts.lastOrNull()?.due ?: Long.MIN_VALUE)
        parts.addLast(Part(due, bytes))
        drain()
    }

    private fun drain() {
        var wrote = false
        while (!silent && parts.isNotEmpty() && parts.first().due <= System.nanoTime()) {
            val bytes = parts.removeFirst().bytes
            if (bytes == null) {
                to.flush()
                to.close()
                return
            }
            held -= bytes.readableBytes()
            forwarded.add(bytes.readableBytes().toLong())
            to.write(bytes)
            wrote = true
        }
        if (wrote) to.flush()
        if (!silent && parts.isNotEmpty()) wakeAt(parts.first().due)
        updateReading()
    }

    private fun wakeAt(due: Long) {
        from.eventLoop().schedule(::drain, maxOf(0, due - System.nanoTime()), TimeUnit.NANOSECONDS)
    }
}

private const val MAX_HELD_BYTES = 1_048_576
