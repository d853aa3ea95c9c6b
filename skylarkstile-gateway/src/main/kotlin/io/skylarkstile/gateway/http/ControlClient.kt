/*
 * HTTP client for short calls with fully buffered responses, used for the store, orders and reports. A connection whose response times out
 * is closed, since a later response could be taken for that of another call.
 */
package io.skylarkstile.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.main.Timer
import java.net.InetSocketAddress

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
        val channel: Channel,
        val since: Long,
    )

    private val idle = HashMap<InetSocketAddress, ArrayDeque<Idle>>()

    /** Sends [request] to [address] and passes the outcome to [done] within [timeoutMs] milliseconds. */
    fun call(
        address: InetSocketAddress,
        request: ControlRequest,
        timeoutMs: Long,
        done: (ControlResult) -> Unit,
    ) {
        val exchange = Exchange(address, request, done)
        exchange.timer =
            scheduler.after(timeoutMs) { exchange.finish(ControlResult.Failed("no response within $timeoutMs ms", exchange.sent), false) }
        val pooled = takeIdleOrNull(address)
        if (pooled != null) exchange.begin(pooled) else connect(exchange)
    }

    private fun takeIdleOrNull(address: InetSocketAddress): Channel? {
        val queue = idle[address] ?: return null
        val now = scheduler.now()
        while (queue.isNotEmpty()) {
            val pooled = queue.removeLast()
            if (pooled.channel.isActive && now - pooled.since < MAX_IDLE_MS) return pooled.channel
            pooled.channel.close()
        }
        return null
    }

    private fun connect(exchange: Exchange) {
        val bootstrap =
            Bootstrap()
                .group(loop)
                .channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                    object : ChannelInitializer<Channel>() {
                        override fun initChannel(channel: Channel) {
                            channel.pipeline().addLast(
                                HttpClientCodec(),
                                ResponseEndHandler(),
                                HttpObjectAggregator(maxResponseBytes),
                                ResponseHandler(),
                            )
                        }
                    },
                )
        bootstrap.connect(exchange.address).addListener { future ->
            val channel = (future as io.netty.channel.ChannelFuture).channel()
            if (future.isSuccess) {
                exchange.begin(
                    channel,
                )
            } else {
                exchange.finish(ControlResult.Failed("could not connect: ${future.cause()?.message}", false), false)
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
        private var channel: Channel? = null
        private var finished = false

        fun begin(channel: Channel) {
            if (finished) {
                channel.close()
                return
            }
            this.channel = channel
            val body = request.body?.let { Unpooled.wrappedBuffer(it.encodeToByteArray()) } ?: Unpooled.EMPTY_BUFFER
            val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri, body)
            message.headers().set(HttpHeaderNames.HOST, "${address.address.hostAddress}:${address.port}")
            if (request.body != null) message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            if (request.body != null) HttpUtil.setContentLength(message, body.readableBytes().toLong())
            request.headers.forEach { (name, value) -> message.headers().set(name, value) }
            channel.pipeline().get(ResponseHandler::class.java).exchange = this
            sent = true
            channel.writeAndFlush(message)
        }

        fun finish(
            result: ControlResult,
            reusable: Boolean,
        ) {
            if (finished) return
            finished = true
            timer?.cancel()
            channel?.let {
                it.pipeline().get(ResponseHandler::class.java)?.exchange = null
                if (reusable) idle.getOrPut(address) { ArrayDeque() }.addLast(Idle(it, scheduler.now())) else it.close()
            }
            done(result)
        }
    }

    private class ResponseHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
        var exchange: Exchange? = null

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            response: FullHttpResponse,
        ) {
            val current = exchange
            if (current == null) {
                ctx.close()
                return
            }
            val isComplete = response.decoderResult().isSuccess
            val result =
                if (isComplete) {
                    ControlResult.Answer(
                        response.status().code(),
                        response.content().toString(Charsets.UTF_8),
                    )
                } else {
                    ControlResult.Failed("malformed response", true)
                }
            current.finish(result, isComplete && HttpUtil.isKeepAlive(response))
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            exchange?.finish(ControlResult.Failed("connection closed", true), false)
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            exchange?.finish(ControlResult.Failed("connection failed: ${cause.message}", true), false)
            ctx.close()
        }
    }
}
