/*
 * The Netty implementation of [HttpServer]: it accepts connections, bounds their number and drains them at shutdown.
 */
package io.skylarkstile.transport.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Starts a server on [address] (`ip:port`, port 0 for a free one).
 *
 * @throws java.io.IOException when the address can't be bound
 */
fun httpServer(
    address: String,
    limits: HttpServerLimits = HttpServerLimits(),
    handler: HttpHandler,
): HttpServer = NettyHttpServer(limits, handler).also { it.bind(address) }

internal class NettyHttpServer(
    val limits: HttpServerLimits,
    val handler: HttpHandler,
) : HttpServer {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val active = AtomicInteger()
    val bufferedBytes = AtomicLong()

    @Volatile
    var draining = false
        private set

    private val connections = ConcurrentHashMap.newKeySet<ServerConnection>()
    private lateinit var listener: Channel

    override val address: String get() = (listener.localAddress() as InetSocketAddress).text()

    fun bind(address: String) {
        listener =
            ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
                .childHandler(initializer())
                .bind(socketAddress(address))
                .sync()
                .channel()
    }

    override fun running(): Int = active.get()

    override fun beginClosing() {
        draining = true
    }

    override suspend fun drain(timeoutMs: Long): Boolean {
        draining = true
        listener.close().awaitDone()
        val end = System.nanoTime() + timeoutMs * NANOS_PER_MS
        connections.forEach { it.closeWhenIdle() }
        while (active.get() > 0 && System.nanoTime() < end) delay(DRAIN_POLL_MS)
        return active.get() == 0
    }

    override fun close() {
        draining = true
        listener.close().syncUninterruptibly()
        connections.forEach { it.close() }
        scope.cancel()
    }

    private fun initializer() = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            if (connections.size >= limits.maxConnections) {
                channel.close()
                return
            }
            val connection = ServerConnection(this@NettyHttpServer, channel)
            connections.add(connection)
            channel.closeFuture().addListener { connections.remove(connection) }
            channel.pipeline().addLast(connection.timer, strictDecoder(), HttpResponseEncoder(), connection)
        }
    }

    private fun strictDecoder() = StrictRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(limits.maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES),
    )

    private companion object {
        const val BACKLOG = 1_024
        const val MAX_LINE_BYTES = 8_192
        const val MAX_CHUNK_BYTES = 65_536
        const val WRITE_LOW_BYTES = 32_768
        const val WRITE_HIGH_BYTES = 65_536
        const val DRAIN_POLL_MS = 10L
    }
}

internal const val NANOS_PER_MS = 1_000_000L

/** Rejects messages with both a length and chunks: two servers could disagree on where such a request ends. */
private class StrictRequestDecoder(
    config: HttpDecoderConfig,
) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")
}
