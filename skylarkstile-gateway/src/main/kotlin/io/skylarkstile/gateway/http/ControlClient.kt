/*
 * HTTP client for short calls with fully buffered responses, used for the store, orders and reports. A connection whose response times out
 * is closed, since a later response could be taken for that of another call.
 *
 * Responses name no request, so a server that responds twice is recognized by bytes that arrive at a time when none may: while its connection
 * is idle, or together with a response and behind it. Its connections then carry one exchange each for a while, which costs a handshake for each
 * call. What remains: a whole extra response that arrives after the next request on a reused connection, and apart from the response to it, is
 * taken for that one. The response that is left over then ends the connection, so this happens once, before the server is recognized.
 */
package io.skylarkstile.gateway.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.http.ConnectionReuse
import io.skylarkstile.http.ResponseDecoder
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Maximum size of a response of the store, in bytes: a page of a list. */
const val MAX_STORE_RESPONSE_BYTES = 16 * 1024 * 1024

/** Maximum size of a target's response to an order, a report or a probe, in bytes: a faulty target may send without end. */
const val MAX_TARGET_RESPONSE_BYTES = 256 * 1024
private const val CONNECT_TIMEOUT_MS = 800

/** Connections idle for longer than this aren't reused, in milliseconds: the other end may have dropped them silently. */
private const val MAX_IDLE_MS = 4_000L

/** Describes one call. [headers] are sent in addition to `Host`, `Content-Type` and `Content-Length`. */
data class ControlRequest(
    val method: HttpMethod,
    val uri: String,
    val body: String? = null,
    val headers: List<Pair<String, String>> = emptyList(),
)

/** Represents the outcome of one call. */
sealed interface ControlResult {
    data class Answer(
        val status: Int,
        val body: String,
    ) : ControlResult

    /** There was no valid response; [wasSent] is true if the request may have reached the server. */
    data class Failed(
        val detail: String,
        val wasSent: Boolean,
    ) : ControlResult
}

/** Makes short calls on [loop]; a response of more than [maxResponseBytes] is a failure. Not thread-safe. */
class ControlClient(
    private val loop: EventLoop,
    private val scheduler: Scheduler,
    private val maxResponseBytes: Int,
) {
    private class Idle(
        val connection: ControlConnection,
        val since: Long,
    )

    private val idle = HashMap<InetSocketAddress, ArrayDeque<Idle>>()

    /** Holds the servers that have sent bytes that belong to no exchange. */
    private val reuse = HashMap<InetSocketAddress, ConnectionReuse>()

    /** Sends [request] to [address] and passes the outcome to [done] within [timeoutMs] milliseconds. */
    fun call(
        address: InetSocketAddress,
        request: ControlRequest,
        timeoutMs: Long,
        done: (ControlResult) -> Unit,
    ) {
        val exchange = Exchange(address, request, done)
        exchange.timer = scheduler.after(timeoutMs) { exchange.timeOut(timeoutMs) }
        val pooled = takeIdleOrNull(address)
        if (pooled != null) exchange.begin(pooled) else connect(exchange)
    }

    private fun takeIdleOrNull(address: InetSocketAddress): ControlConnection? {
        val queue = idle[address] ?: return null
        val now = scheduler.now()
        val mayReuse = mayReuse(address, now)
        while (queue.isNotEmpty()) {
            val pooled = queue.removeLast()
            if (mayReuse && pooled.connection.isUsable && now - pooled.since < MAX_IDLE_MS) return pooled.connection
            pooled.connection.abandon()
        }
        return null
    }

    private fun mayReuse(
        address: InetSocketAddress,
        now: Long,
    ): Boolean = reuse[address]?.isPermitted(now) != false

    private fun keepIdle(
        address: InetSocketAddress,
        connection: ControlConnection,
    ) {
        val now = scheduler.now()
        if (!mayReuse(address, now)) return connection.abandon()
        idle.getOrPut(address) { ArrayDeque() }.addLast(Idle(connection, now))
    }

    private fun foreignBytesReceived(
        address: InetSocketAddress,
        foreign: ForeignControlBytes,
    ) {
        val noReuseMs = reuse.getOrPut(address) { ConnectionReuse() }.recordForeignBytes(scheduler.now())
        log.event(
            Level.INFO,
            "control-foreign-bytes",
            "address" to address,
            "inFlight" to foreign.isInFlight,
            "exchangesOnConnection" to foreign.exchangesOnConnection,
            "bytes" to foreign.bytes,
            "start" to foreign.start,
            "noReuseMs" to noReuseMs,
            "reason" to foreign.reason,
        ) { "server sent bytes that belong to no exchange" }
    }

    private fun connect(exchange: Exchange) {
        val decoder = ResponseDecoder()
        val connection = ControlConnection(decoder, maxResponseBytes)
        connection.onIdle = { keepIdle(exchange.address, connection) }
        connection.onForeignBytes = { foreignBytesReceived(exchange.address, it) }
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            channel.pipeline().addLast(HttpRequestEncoder(), decoder, ResponseEndHandler(), connection)
                        }
                    },
                )
        bootstrap.connect(exchange.address).addListener { future ->
            if (future.isSuccess) {
                exchange.begin(connection)
            } else {
                exchange.finish(ControlResult.Failed("could not connect: ${future.cause()?.message}", false))
            }
        }
    }

    private inner class Exchange(
        val address: InetSocketAddress,
        private val request: ControlRequest,
        private val done: (ControlResult) -> Unit,
    ) {
        var timer: Timer? = null
        var sent = false
        private var connection: ControlConnection? = null
        private var finished = false

        fun begin(connection: ControlConnection) {
            if (finished) return connection.abandon()
            this.connection = connection
            val body = request.body?.let { Unpooled.wrappedBuffer(it.encodeToByteArray()) } ?: Unpooled.EMPTY_BUFFER
            val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri, body)
            message.headers().set(HttpHeaderNames.HOST, "${address.address.hostAddress}:${address.port}")
            if (request.body != null) message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            if (request.body != null) HttpUtil.setContentLength(message, body.readableBytes().toLong())
            request.headers.forEach { (name, value) -> message.headers().set(name, value) }
            sent = true
            connection.send(message, ::finish)
        }

        /** Ends the exchange because no response has arrived in time. */
        fun timeOut(timeoutMs: Long) {
            connection?.abandon()
            finish(ControlResult.Failed("no response within $timeoutMs ms", sent))
        }

        fun finish(result: ControlResult) {
            if (finished) return
            finished = true
            timer?.cancel()
            done(result)
        }
    }
}
