/*
 * Connections to targets. Idle ones are used again while the target is sure to keep them open.
 */
package io.skylarkstile.gateway.relay

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.skylarkstile.gateway.main.Scheduler
import java.net.InetSocketAddress

/** A connection attempt that takes longer is given up: targets are at most a few milliseconds away, and a lost packet is sent again in 1 s. */
private const val CONNECT_TIMEOUT_MS = 600

/** Idle time allowed where the target doesn't name one, and the share used of one that it names. */
private const val DEFAULT_IDLE_MS = 2_000L
private const val IDLE_SHARE = 0.6
private const val LONGEST_IDLE_MS = 15_000L

/** Opens and keeps connections; runs on the event loop. */
internal class TargetPool(
    private val loop: EventLoop,
    private val scheduler: Scheduler,
    private val codec: CallCodec,
) {
    private class Idle(
        val connection: TargetConnection,
        val until: Long,
    )

    private class Address {
        var open = 0
        val idle = ArrayDeque<Idle>()
    }

    private val addresses = HashMap<InetSocketAddress, Address>()

    /** Returns whether an idle connection or room for a new one below [limit] exists. */
    fun hasRoom(
        address: InetSocketAddress,
        limit: Int,
    ): Boolean = addresses[address]?.let { it.open < limit || it.idle.isNotEmpty() } ?: true

    /** Hands a connection to [address] to [done], or null when it can't be opened. */
    fun acquire(
        address: InetSocketAddress,
        done: (TargetConnection?) -> Unit,
    ) {
        val known = addresses.getOrPut(address) { Address() }
        val now = scheduler.now()
        while (known.idle.isNotEmpty()) {
            val kept = known.idle.removeLast()
            if (kept.connection.isUsable && now < kept.until) return done(kept.connection)
            kept.connection.abandon()
        }
        connect(address, known, done)
    }

    /** Closes the idle connections to [address], because its target is gone. */
    fun forget(address: InetSocketAddress) {
        val known = addresses[address] ?: return
        known.idle.forEach { it.connection.abandon() }
        known.idle.clear()
        if (known.open == 0) addresses.remove(address)
    }

    /** Closes connections that were idle for too long. */
    fun trim() {
        val now = scheduler.now()
        addresses.values.forEach { known ->
            while (known.idle.isNotEmpty() && known.idle.first().until <= now) {
                known.idle
                    .removeFirst()
                    .connection
                    .abandon()
            }
        }
    }

    private fun connect(
        address: InetSocketAddress,
        known: Address,
        done: (TargetConnection?) -> Unit,
    ) {
        known.open++
        val decoder = TargetAnswerDecoder()
        val connection = TargetConnection(codec, decoder)
        connection.onFree = { keepAliveMs -> known.idle.addLast(Idle(connection, scheduler.now() + idleMs(keepAliveMs))) }
        val initializer =
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(HttpRequestEncoder(), decoder, connection)
                }
            }
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer)
        bootstrap.connect(address).addListener { future ->
            if (!future.isSuccess) {
                known.open--
                return@addListener done(null)
            }
            (future as ChannelFuture).channel().closeFuture().addListener { known.open-- }
            done(connection)
        }
    }

    private fun idleMs(keepAliveMs: Long?): Long = when (keepAliveMs) {
        null -> DEFAULT_IDLE_MS
        else -> (keepAliveMs * IDLE_SHARE).toLong().coerceAtMost(LONGEST_IDLE_MS)
    }
}
