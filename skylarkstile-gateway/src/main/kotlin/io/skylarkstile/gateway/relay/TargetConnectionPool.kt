/*
 * Pools connections to targets. An idle connection is reused only while the target is certain to keep it open.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.http.ResponseEndHandler
import io.skylarkstile.gateway.main.GatewayMetrics
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.http.ResponseDecoder
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Timeout of a connection attempt: targets are a few milliseconds away at most, and TCP retransmits a lost SYN only after 1 s. */
private const val CONNECT_TIMEOUT_MS = 600

/** Idle time after which a connection is closed when the target announces no keep-alive time. */
private const val DEFAULT_IDLE_LIMIT_MS = 2_000L

/** Share of an announced keep-alive time during which a connection is reused. */
private const val KEEP_ALIVE_SHARE = 0.6
private const val MAX_IDLE_MS = 15_000L

/** Opens connections and keeps idle ones; runs on the event loop. */
internal class TargetConnectionPool(
    private val loop: EventLoop,
    private val scheduler: Scheduler,
    private val codec: CallCodec,
    private val metrics: GatewayMetrics,
) {
    private class IdleConnection(
        val connection: TargetConnection,
        val expiresAt: Long,
    )

    private class AddressPool {
        var openCount = 0
        val idle = ArrayDeque<IdleConnection>()
    }

    private val addresses = HashMap<InetSocketAddress, AddressPool>()

    /** Returns whether there is an idle connection, or fewer than [limit] are open. */
    fun hasRoom(
        address: InetSocketAddress,
        limit: Int,
    ): Boolean = addresses[address]?.let { it.openCount < limit || it.idle.isNotEmpty() } ?: true

    /** Passes a connection to [target] to [done], or null when none can be opened. */
    fun acquire(
        target: TargetState,
        done: (TargetConnection?) -> Unit,
    ) {
        val address = target.entry.address
        val pool = addresses.getOrPut(address) { AddressPool() }
        val now = scheduler.now()
        val mayReuse = target.availability.mayReuseConnections(now)
        while (pool.idle.isNotEmpty()) {
            val candidate = pool.idle.removeLast()
            if (mayReuse && candidate.connection.isUsable && now < candidate.expiresAt) {
                candidate.connection.target = target
                return done(candidate.connection)
            }
            candidate.connection.abandon()
        }
        connect(address, pool) { connection ->
            connection?.target = target
            done(connection)
        }
    }

    /** Opens a new connection to [address], closes it, and passes to [done] whether it was accepted. */
    fun checkReachable(
        address: InetSocketAddress,
        done: (Boolean) -> Unit,
    ) = connect(address, addresses.getOrPut(address) { AddressPool() }) { connection ->
        connection?.abandon()
        done(connection != null)
    }

    /** Closes the idle connections to [address], because its target is gone. */
    fun closeIdle(address: InetSocketAddress) {
        val pool = addresses[address] ?: return
        pool.idle.forEach { it.connection.abandon() }
        pool.idle.clear()
        if (pool.openCount == 0) addresses.remove(address)
    }

    /** Closes the connections whose idle time has run out. */
    fun closeExpired() {
        val now = scheduler.now()
        addresses.values.forEach { pool ->
            while (pool.idle.isNotEmpty() && pool.idle.first().expiresAt <= now) {
                pool.idle
                    .removeFirst()
                    .connection
                    .abandon()
            }
        }
    }

    private fun connect(
        address: InetSocketAddress,
        pool: AddressPool,
        done: (TargetConnection?) -> Unit,
    ) {
        pool.openCount++
        val decoder = ResponseDecoder()
        val connection = TargetConnection(codec, decoder)
        connection.onIdle = { keepAliveMs -> keepIdle(pool, connection, keepAliveMs) }
        connection.onForeignBytes = { foreignBytesReceived(connection, it) }
        val initializer =
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    channel.pipeline().addLast(HttpRequestEncoder(), decoder, ResponseEndHandler(), connection)
                }
            }
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                // A target may end its response and the stream in its direction before it has read the whole request.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(initializer)
        bootstrap.connect(address).addListener { future ->
            if (!future.isSuccess) {
                pool.openCount--
                return@addListener done(null)
            }
            (future as ChannelFuture).channel().closeFuture().addListener { pool.openCount-- }
            done(connection)
        }
    }

    private fun keepIdle(
        pool: AddressPool,
        connection: TargetConnection,
        keepAliveMs: Long?,
    ) {
        val now = scheduler.now()
        if (connection.target?.availability?.mayReuseConnections(now) == false) return connection.abandon()
        pool.idle.addLast(IdleConnection(connection, now + idleLimitMs(keepAliveMs)))
    }

    private fun foreignBytesReceived(
        connection: TargetConnection,
        foreign: ForeignBytes,
    ) {
        metrics.recordForeignBytes(foreign.isInFlight)
        val target = connection.target ?: return
        val noReuseMs = target.availability.recordForeignBytes(scheduler.now())
        log.event(
            Level.INFO,
            "foreign-bytes",
            "call" to foreign.callId,
            "target" to target.id,
            "inFlight" to foreign.isInFlight,
            "callsOnConnection" to foreign.callsOnConnection,
            "bytes" to foreign.bytes,
            "start" to foreign.start,
            "noReuseMs" to noReuseMs,
            "reason" to foreign.reason,
        ) { "target sent bytes that belong to no call" }
    }

    private fun idleLimitMs(keepAliveMs: Long?): Long = when (keepAliveMs) {
        null -> DEFAULT_IDLE_LIMIT_MS
        else -> (keepAliveMs * KEEP_ALIVE_SHARE).toLong().coerceAtMost(MAX_IDLE_MS)
    }
}
