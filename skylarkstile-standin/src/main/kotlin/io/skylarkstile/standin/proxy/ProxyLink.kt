/*
 * One link of the fault proxy: a listener, its target, and the faults in force.
 */
package io.skylarkstile.standin.proxy

import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.skylarkstile.transport.http.socketAddress
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder

internal class ProxyLink(
    private val spec: LinkSpec,
    private val loops: EventLoopGroup,
) {
    private val lock = Any()
    private val connections = ConcurrentHashMap.newKeySet<ProxyConnection>()
    private val accepted = LongAdder()
    private val bytesToTarget = LongAdder()
    private val bytesFromTarget = LongAdder()

    /** Address that is listened on; it stays the same when a cut link is healed. */
    private var address = socketAddress(spec.listen)
    private var listener: Channel? = null

    @Volatile
    private var delayMs = 0.0

    @Volatile
    private var halfOpen = false

    fun state(): LinkState = synchronized(lock) {
        LinkState(
            spec.name,
            "${address.address.hostAddress}:${address.port}",
            spec.target,
            delayMs,
            listener == null,
            halfOpen,
            connections.size,
            accepted.sum(),
            bytesToTarget.sum(),
            bytesFromTarget.sum(),
        )
    }

    fun listen() {
        synchronized(lock) {
            if (listener != null) return
            val bound = bootstrap().bind(address).sync().channel()
            address = bound.localAddress() as InetSocketAddress
            listener = bound
        }
    }

    /** Closes the listener and all connections. */
    fun close() {
        synchronized(lock) {
            listener?.close()?.syncUninterruptibly()
            listener = null
        }
        connections.forEach { it.close() }
    }

    fun apply(order: ProxyOrder) {
        if (order.heal) heal()
        order.delayMs?.let { delayMs = it }
        order.halfOpen?.let { halfOpen = it }
        order.silence?.let { direction -> connections.forEach { it.silence(direction) } }
        when (order.cut) {
            true -> close()
            false -> listen()
            null -> Unit
        }
    }

    private fun heal() {
        delayMs = 0.0
        halfOpen = false
        listen()
        connections.forEach { it.heal() }
    }

    private fun bootstrap(): ServerBootstrap = ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) = accept(channel)
            },
        )

    private fun accept(channel: SocketChannel) {
        accepted.increment()
        val connection = ProxyConnection(channel, ::delayNanos, bytesToTarget, bytesFromTarget)
        connections.add(connection)
        channel.closeFuture().addListener { connections.remove(connection) }
        if (halfOpen) return
        // A handshake over the delayed path takes one round trip, so the target is dialled that much later.
        channel.eventLoop().schedule({ dial(connection, channel) }, 2 * delayNanos(), TimeUnit.NANOSECONDS)
    }

    private fun dial(
        connection: ProxyConnection,
        channel: SocketChannel,
    ) {
        Bootstrap()
            .group(channel.eventLoop())
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(target: SocketChannel) = Unit
                },
            ).connect(socketAddress(spec.target))
            .addListener { future ->
                if (future.isSuccess) connection.join((future as ChannelFuture).channel()) else channel.close()
            }
    }

    private fun delayNanos(): Long = (delayMs * NANOS_PER_MS).toLong()
}

private const val NANOS_PER_MS = 1_000_000.0
