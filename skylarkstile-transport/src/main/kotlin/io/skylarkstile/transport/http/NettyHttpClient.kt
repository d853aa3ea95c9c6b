/*
 * The Netty implementation of [HttpClient], with one pool of idle connections per address. Responses name no request: a server that is seen to
 * respond twice gets one request on each connection for a while. A whole extra response that arrives alone and after the next request is taken
 * for the response to it, once, until the one that is left over ends the connection.
 */
package io.skylarkstile.transport.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.skylarkstile.config.log.event
import io.skylarkstile.http.ConnectionReuse
import io.skylarkstile.http.ResponseDecoder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.atomic.AtomicLong

/** Created on first use: creating a logger prints a line on standard output, which belongs to the results of the operator command. */
private val log by lazy { KotlinLogging.logger {} }

/**
 * Creates a client whose connection attempts time out after [connectTimeoutMs] milliseconds. While more than [readAheadBytes] bytes of
 * responses are buffered over all calls, a call reads from its connection only when its collector has consumed everything.
 */
fun httpClient(
    connectTimeoutMs: Long,
    readAheadBytes: Long = Long.MAX_VALUE,
): HttpClient = NettyHttpClient(connectTimeoutMs.toInt(), ReadAheadBudget(readAheadBytes))

/** Counts the response bytes that are buffered for collectors, over all calls of a client. */
internal class ReadAheadBudget(
    private val maxBytes: Long,
) {
    private val bytes = AtomicLong()

    val isFull: Boolean get() = bytes.get() > maxBytes

    fun add(n: Int) {
        bytes.addAndGet(n.toLong())
    }
}

internal class NettyHttpClient(
    connectTimeoutMs: Int,
    private val readAhead: ReadAheadBudget,
) : HttpClient {
    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<ClientConnection>>()

    /** Holds the servers that have sent bytes that belong to no call. */
    private val reuse = ConcurrentHashMap<String, ConnectionReuse>()

    @Volatile
    private var closed = false

    private val bootstrap =
        Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.RECVBUF_ALLOCATOR, AdaptiveRecvByteBufAllocator(READ_MIN_BYTES, READ_FIRST_BYTES, READ_MAX_BYTES))
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        val decoder = ResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES)
                        channel.pipeline().addLast(HttpRequestEncoder(), decoder, ClientConnection(channel, readAhead, decoder))
                    }
                },
            )

    override suspend fun call(
        address: String,
        request: HttpRequest,
        idleTimeoutMs: Long,
        idempotent: Boolean,
        beforeSend: () -> Boolean,
    ): Result<HttpAnswer, HttpFailure> {
        // The server may be closing a pooled connection at this moment, so only calls that may be repeated use one.
        val pooled = if (idempotent) idleConnectionOrNull(address) else null
        if (pooled != null) {
            val sent = exchange(address, pooled, request, idleTimeoutMs, beforeSend)
            if (sent !is Attempt.Stale) return sent.result()
        }
        val newConnection =
            try {
                connect(address)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                return Err(HttpFailure.NotSent("connecting to $address failed: ${e.message}"))
            }
        return exchange(address, newConnection, request, idleTimeoutMs, beforeSend).result()
    }

    override fun close() {
        closed = true
        idle.values.forEach { q -> q.forEach { it.channel.close() } }
    }

    private sealed interface Attempt {
        data class Done(
            val outcome: Result<HttpAnswer, HttpFailure>,
        ) : Attempt

        /** The connection was closed before the head of a response arrived. */
        data class Stale(
            val detail: String,
            val sent: Boolean,
        ) : Attempt

        fun result(): Result<HttpAnswer, HttpFailure> = when (this) {
            is Done -> outcome
            is Stale -> Err(if (sent) HttpFailure.NoAnswer(detail) else HttpFailure.NotSent(detail))
        }
    }

    private suspend fun exchange(
        address: String,
        connection: ClientConnection,
        request: HttpRequest,
        idleTimeoutMs: Long,
        beforeSend: () -> Boolean,
    ): Attempt {
        val call = ClientCall()
        try {
            if (!connection.send(call, toNettyRequest(address, request), beforeSend)) {
                release(address, connection)
                return Attempt.Done(Err(HttpFailure.NotSent("cancelled before sending")))
            }
            val head =
                withTimeoutOrNull(idleTimeoutMs) { call.head.await() }
                    ?: return Attempt
                        .Done(
                            Err(HttpFailure.NoAnswer("no response from $address for $idleTimeoutMs ms")),
                        ).also { connection.channel.close() }
            return when (head) {
                is ResponseHead.Closed -> Attempt.Stale("$address closed the connection before it responded", head.sent)
                is ResponseHead.Received ->
                    Attempt.Done(
                        Ok(HttpAnswer(head.status, head.headers, body(address, connection, call, idleTimeoutMs), head.length)),
                    )
            }
        } catch (e: CancellationException) {
            connection.channel.close()
            throw e
        }
    }

    private fun body(
        address: String,
        connection: ClientConnection,
        call: ClientCall,
        idleTimeoutMs: Long,
    ): Flow<ByteArray> = flow {
        var isComplete = false
        try {
            while (true) {
                val part =
                    withTimeoutOrNull(idleTimeoutMs) { call.bodyParts.receiveCatching() }
                        ?: throw HttpBodyException("$address sent nothing for $idleTimeoutMs ms within a response")
                if (part.isClosed) break
                val bytes = part.getOrThrow()
                connection.bodyConsumed(call, bytes.size)
                emit(bytes)
            }
            isComplete = call.complete
            if (!isComplete) throw HttpBodyException("$address ended its response early")
        } finally {
            connection.bodyAbandoned(call)
            if (isComplete && call.reusable) release(address, connection) else connection.channel.close()
        }
    }

    private fun toNettyRequest(
        address: String,
        request: HttpRequest,
    ): DefaultFullHttpRequest {
        val message =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method),
                request.rawUri,
                Unpooled.wrappedBuffer(request.body),
            )
        request.headers.fields.forEach { (name, value) -> message.headers().add(name, value) }
        message.headers().set(HttpHeaderNames.HOST, address)
        if (request.body.isNotEmpty() || request.method !in BODYLESS) HttpUtil.setContentLength(message, request.body.size.toLong())
        return message
    }

    private suspend fun connect(address: String): ClientConnection {
        val future = bootstrap.connect(socketAddress(address))
        try {
            future.awaitDone()
        } catch (e: CancellationException) {
            future.channel().close()
            throw e
        }
        val connection = future.channel().pipeline().get(ClientConnection::class.java)
        connection.onForeignBytes = { foreignBytesReceived(address, it) }
        return connection
    }

    private fun foreignBytesReceived(
        address: String,
        reason: String,
    ) {
        val known = reuse.computeIfAbsent(address) { ConnectionReuse() }
        val noReuseMs = synchronized(known) { known.recordForeignBytes(nowMs()) }
        log.event(Level.INFO, "client-foreign-bytes", "address" to address, "noReuseMs" to noReuseMs, "reason" to reason) {
            "server sent bytes that belong to no call"
        }
    }

    private fun mayReuse(
        address: String,
        now: Long,
    ): Boolean {
        val known = reuse[address] ?: return true
        return synchronized(known) { known.isPermitted(now) }
    }

    private fun nowMs() = System.nanoTime() / NANOS_PER_MS

    private fun idleConnectionOrNull(address: String): ClientConnection? {
        val queue = idle[address] ?: return null
        val mayReuse = mayReuse(address, nowMs())
        while (true) {
            val c = queue.pollLast() ?: return null
            if (mayReuse && c.channel.isActive) return c
            c.channel.close()
        }
    }

    private fun release(
        address: String,
        connection: ClientConnection,
    ) {
        val queue = idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (closed || !connection.channel.isActive || queue.size >= MAX_IDLE_PER_ADDRESS || !mayReuse(address, nowMs())) {
            connection.channel.close()
            return
        }
        queue.addLast(connection)
        connection.channel.closeFuture().addListener { queue.remove(connection) }
    }

    private companion object {
        const val MAX_LINE_BYTES = 8_192
        const val MAX_HEADER_BYTES = 65_536
        const val MAX_CHUNK_BYTES = 65_536

        /** Largest part of a response body that a call buffers when the read-ahead budget is used up. */
        const val READ_MAX_BYTES = 16_384
        const val READ_FIRST_BYTES = 2_048
        const val READ_MIN_BYTES = 64
        const val MAX_IDLE_PER_ADDRESS = 32
        val BODYLESS = setOf("GET", "HEAD", "DELETE", "OPTIONS")
    }
}

internal sealed interface ResponseHead {
    class Received(
        val status: Int,
        val headers: HttpHeaders,
        val length: Long?,
    ) : ResponseHead

    class Closed(
        val sent: Boolean,
    ) : ResponseHead
}

internal class ClientCall {
    val head = CompletableDeferred<ResponseHead>()
    val bodyParts = kotlinx.coroutines.channels.Channel<ByteArray>(kotlinx.coroutines.channels.Channel.UNLIMITED)

    @Volatile
    var complete = false

    @Volatile
    var reusable = false

    /** Accessed on the event loop only. */
    var isBodyAbandoned = false
    val buffered =
        java.util.concurrent.atomic
            .AtomicInteger()
}
