/*
 * The Netty implementation of [HttpClient] with a pool of idle connections for each address.
 */
package io.skylarkstile.transport.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.atomic.AtomicLong

/**
 * Creates a client that gives up connecting after [connectTimeoutMs] milliseconds. While [readAheadBytes] bytes of answers wait for their
 * collectors, each call reads on only when its collector has taken everything.
 */
fun httpClient(
    connectTimeoutMs: Long,
    readAheadBytes: Long = Long.MAX_VALUE,
): HttpClient = NettyHttpClient(connectTimeoutMs.toInt(), ReadAhead(readAheadBytes))

/** Counts the bytes of answers that wait for their collectors, over all calls of a client. */
internal class ReadAhead(
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
    private val ahead: ReadAhead,
) : HttpClient {
    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<ClientConnection>>()

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
                        channel.pipeline().addLast(
                            HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            ClientConnection(channel, ahead),
                        )
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
        // A pooled connection may be closed by the other side just now, so only calls that may be repeated use one.
        val pooled = if (idempotent) idleConnectionOrNull(address) else null
        if (pooled != null) {
            val sent = exchange(address, pooled, request, idleTimeoutMs, beforeSend)
            if (sent !is Attempt.Stale) return sent.result()
        }
        val fresh =
            try {
                connect(address)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                return Err(HttpFailure.NotSent("connecting to $address failed: ${e.message}"))
            }
        return exchange(address, fresh, request, idleTimeoutMs, beforeSend).result()
    }

    override fun close() {
        closed = true
        idle.values.forEach { q -> q.forEach { it.channel.close() } }
    }

    private sealed interface Attempt {
        data class Done(
            val outcome: Result<HttpAnswer, HttpFailure>,
        ) : Attempt

        /** The connection closed before any byte of an answer. */
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
            if (!connection.send(call, netty(address, request), beforeSend)) {
                release(address, connection)
                return Attempt.Done(Err(HttpFailure.NotSent("stopped before sending")))
            }
            val head =
                withTimeoutOrNull(idleTimeoutMs) { call.head.await() }
                    ?: return Attempt
                        .Done(
                            Err(HttpFailure.NoAnswer("no answer from $address for $idleTimeoutMs ms")),
                        ).also { connection.channel.close() }
            return when (head) {
                is ClientHead.Closed -> Attempt.Stale("$address closed the connection before it answered", head.sent)
                is ClientHead.Arrived ->
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
        var whole = false
        try {
            while (true) {
                val part =
                    withTimeoutOrNull(idleTimeoutMs) { call.parts.receiveCatching() }
                        ?: throw HttpBodyException("$address was silent for $idleTimeoutMs ms within an answer")
                if (part.isClosed) break
                val bytes = part.getOrThrow()
                connection.consumed(call, bytes.size)
                emit(bytes)
            }
            whole = call.complete
            if (!whole) throw HttpBodyException("$address broke off its answer")
        } finally {
            connection.abandoned(call)
            if (whole && call.reusable) release(address, connection) else connection.channel.close()
        }
    }

    private fun netty(
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
        if (request.body.isNotEmpty() || request.method !in BODILESS) HttpUtil.setContentLength(message, request.body.size.toLong())
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
        return future.channel().pipeline().get(ClientConnection::class.java)
    }

    private fun idleConnectionOrNull(address: String): ClientConnection? {
        val queue = idle[address] ?: return null
        while (true) {
            val c = queue.pollLast() ?: return null
            if (c.channel.isActive) return c
        }
    }

    private fun release(
        address: String,
        connection: ClientConnection,
    ) {
        val queue = idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (closed || !connection.channel.isActive || queue.size >= MAX_IDLE) {
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

        /** Largest part of an answer that a call holds when it may not read ahead. */
        const val READ_MAX_BYTES = 16_384
        const val READ_FIRST_BYTES = 2_048
        const val READ_MIN_BYTES = 64
        const val MAX_IDLE = 32
        val BODILESS = setOf("GET", "HEAD", "DELETE", "OPTIONS")
    }
}

internal sealed interface ClientHead {
    class Arrived(
        val status: Int,
        val headers: HttpHeaders,
        val length: Long?,
    ) : ClientHead

    class Closed(
        val sent: Boolean,
    ) : ClientHead
}

internal class ClientCall {
    val head = CompletableDeferred<ClientHead>()
    val parts = kotlinx.coroutines.channels.Channel<ByteArray>(kotlinx.coroutines.channels.Channel.UNLIMITED)

    @Volatile
    var complete = false

    @Volatile
    var reusable = false

    /** Used on the event loop only. */
    var isAbandoned = false
    val buffered =
        java.util.concurrent.atomic
            .AtomicInteger()
}
