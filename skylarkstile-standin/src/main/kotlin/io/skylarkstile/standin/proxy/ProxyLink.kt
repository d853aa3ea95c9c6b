/*
 * Implements one link of the fault proxy: a listener, its target and its active faults.
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

/** Accepts connections for one link and applies control orders to them. */
internal class ProxyLink(
    private val spec: LinkSpec,
    private val loops: EventLoopGroup,
) {
    private val lock = Any()
    private val connections = ConcurrentHashMap.newKeySet<ProxyConnection>()
    private val accepted = LongAdder()
    private val bytesToTarget = LongAdder()
    private val bytesFromTarget = LongAdder()

    /** Listening address; it stays the same when a cut link is healed. */
    private var address = socketAddress(spec.listen)
    private var listener: Channel? = null

    @Volatile
    private var faults = LinkFaults()
    private val callerFaults = ConcurrentHashMap<String, LinkFaults>()

    fun state(): LinkState = synchronized(lock) {
        LinkState(
            spec.name,
            "${address.address.hostAddress}:${address.port}",
            spec.target,
            faults.delayMs,
            faults.cut,
            faults.halfOpen,
            connections.size,
            callerFaults.toMap(),
            accepted.sum(),
            bytesToTarget.sum(),
            bytesFromTarget.sum(),
        )
    }

    /** Starts to listen, unless the link listens already. */
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
        val from = order.from
        val affected = connections.filter { from == null || it.callerOrNull == from }
        if (order.heal) heal(from, affected)
        if (from == null) faults = faults.changed(order) else callerFaults.compute(from) { _, old -> (old ?: LinkFaults()).changed(order) }
        order.silence?.let { direction -> affected.forEach { it.silence(direction) } }
        when {
            order.cut == true && from == null -> close()
            order.cut == true -> affected.forEach { it.close() }
            order.cut == false && from == null -> listen()
        }
    }

    private fun LinkFaults.changed(order: ProxyOrder): LinkFaults =
        LinkFaults(order.delayMs ?: delayMs, order.cut ?: cut, order.halfOpen ?: halfOpen)

    private fun heal(
        from: String?,
        affected: List<ProxyConnection>,
    ) {
        if (from == null) {
            faults = LinkFaults()
            callerFaults.clear()
            listen()
        } else {
            callerFaults.remove(from)
        }
        affected.forEach { it.heal() }
    }

    /** Returns the active faults of [caller]: the faults of the link combined with those of the caller. */
    private fun faultsOf(caller: String?): LinkFaults {
        val own = caller?.let { callerFaults[it] } ?: return faults
        return LinkFaults(maxOf(own.delayMs, faults.delayMs), own.cut || faults.cut, own.halfOpen || faults.halfOpen)
    }

    /** Returns the longest caller name that the first bytes of a connection contain. */
    private fun callerOf(first: String): String? = spec.callers.filter { it in first }.maxByOrNull { it.length }

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
        val connection = ProxyConnection(channel, ::callerOf, ::faultsOf, bytesToTarget, bytesFromTarget)
        connections.add(connection)
        channel.closeFuture().addListener { connections.remove(connection) }
        if (faults.halfOpen) return
        // A TCP handshake over the delayed path takes one round trip, so connecting to the target is delayed by that time.
        channel.eventLoop().schedule({ connectToTarget(connection, channel) }, 2 * nanosOf(faults.delayMs), TimeUnit.NANOSECONDS)
    }

    private fun connectToTarget(
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
                if (future.isSuccess) connection.attachTarget((future as ChannelFuture).channel()) else channel.close()
            }
    }
}

/** Converts milliseconds to nanoseconds. */
internal fun nanosOf(ms: Double): Long = (ms * NANOS_PER_MS).toLong()

private const val NANOS_PER_MS = 1_000_000.0
