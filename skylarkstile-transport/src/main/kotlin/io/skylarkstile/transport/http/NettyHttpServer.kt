/*
 * The Netty implementation of [HttpServer]: accepts connections, limits their number and drains them at shutdown.
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
    val activeRequests = AtomicInteger()
    val memory = MemoryBudget(limits.maxBufferedBytes)

    @Volatile
    var draining = false
        private set

    private val connections = ConcurrentHashMap.newKeySet<ServerConnection>()
    private val isEvicting = AtomicBoolean()
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

    override fun running(): Int = activeRequests.get()

    override fun beginClosing() {
        draining = true
    }

    override suspend fun drain(timeoutMs: Long): Boolean {
        draining = true
        listener.close().awaitDone()
        val end = System.nanoTime() + timeoutMs * NANOS_PER_MS
        connections.forEach { it.closeWhenIdle() }
        while (activeRequests.get() > 0 && System.nanoTime() < end) delay(DRAIN_POLL_MS)
        return activeRequests.get() == 0
    }

    override fun close() {
        draining = true
        listener.close().syncUninterruptibly()
        connections.forEach { it.close() }
        scope.cancel()
    }

    /** Closes the connection that has been stalled for longest when memory is short, so that slow callers do not block others. */
    fun evictStalledConnection() {
        if (!memory.isNearlyFull || !isEvicting.compareAndSet(false, true)) return
        val longestStalled = connections.filter { it.isStalled }.minByOrNull { it.stateChangedAt }
        if (longestStalled == null) isEvicting.set(false) else longestStalled.evict { isEvicting.set(false) }
    }

    private fun initializer() = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            if (connections.size >= limits.maxConnections) {
                val longestWaiting = connections.filter { it.isWaitingForRequest || it.isStalled }.minByOrNull { it.stateChangedAt }
                if (longestWaiting == null) {
                    channel.close()
                    return
                }
                longestWaiting.evict()
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

        /** Kept small because a partially received line retains the whole buffer of its read. */
        const val READ_MAX_BYTES = 8_192
        const val READ_FIRST_BYTES = 2_048
        const val READ_MIN_BYTES = 64
        const val WRITE_LOW_BYTES = 32_768
        const val WRITE_HIGH_BYTES = 65_536
        const val DRAIN_POLL_MS = 10L
    }
}

internal const val NANOS_PER_MS = 1_000_000L

/** Rejects messages with both Content-Length and chunked encoding: another server could disagree on their end (request smuggling). */
private class StrictRequestDecoder(
    config: HttpDecoderConfig,
) : HttpRequestDecoder(config) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")
}
