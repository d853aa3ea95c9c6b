/*
 * The Netty implementation of [HttpServer]: it accepts connections, bounds their number and drains them at shutdown.
 */
package io.skylarkstile.transport.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
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
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

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
    val memory = MemoryBudget(limits.maxBufferedBytes)

    @Volatile
    var draining = false
        private set

    private val connections = ConcurrentHashMap.newKeySet<ServerConnection>()
    private val relieving = AtomicBoolean()
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
                .childOption(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    AdaptiveRecvByteBufAllocator(READ_MIN_BYTES, READ_FIRST_BYTES, READ_MAX_BYTES),
                ).childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
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

    /** Ends the connection whose request or answer has been stalled for longest, so that slow callers do not keep the memory from others. */
    fun relieve() {
        if (!memory.isTight || !relieving.compareAndSet(false, true)) return
        val slowest = connections.filter { it.isStalled }.minByOrNull { it.since }
        if (slowest == null) relieving.set(false) else slowest.giveUp { relieving.set(false) }
    }

    private fun initializer() = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            if (connections.size >= limits.maxConnections) {
                val longest = connections.filter { it.isBetweenAnswers || it.isStalled }.minByOrNull { it.since }
                if (longest == null) {
                    channel.close()
                    return
                }
                longest.giveUp()
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

        /** A half-received line keeps the buffer of its read, so reads are small. */
        const val READ_MAX_BYTES = 8_192
        const val READ_FIRST_BYTES = 2_048
        const val READ_MIN_BYTES = 64
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
