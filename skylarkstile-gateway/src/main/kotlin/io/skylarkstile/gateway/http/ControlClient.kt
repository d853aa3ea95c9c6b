/*
 * Short HTTP calls with whole answers, as the store, orders and reports need them. A connection on which an answer is overdue is closed,
 * because nothing more may come on it.
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

/** Largest answer of the store: a page of a list. */
const val STORE_ANSWER_BYTES = 16 * 1024 * 1024

/** Largest answer of a target to an order, a report or a probe: one in trouble may send bytes without end. */
const val TARGET_ANSWER_BYTES = 256 * 1024
private const val CONNECT_TIMEOUT_MS = 800

/** Idle connections older than this are not used again: the other end may have dropped them silently, in milliseconds. */
private const val IDLE_MS = 4_000L

/** One call. [headers] come on top of `Host` and `Content-Length`. */
data class ControlRequest(
    val method: HttpMethod,
    val uri: String,
    val body: String? = null,
    val headers: List<Pair<String, String>> = emptyList(),
)

/** Outcome of one call. */
sealed interface ControlResult {
    data class Answer(
        val status: Int,
        val body: String,
    ) : ControlResult

    /** No answer; [wasSent] tells whether the request may have arrived. */
    data class Failed(
        val detail: String,
        val wasSent: Boolean,
    ) : ControlResult
}

/** Makes short calls on [loop]; an answer of more than [mostBytes] is a failure. Not thread-safe. */
class ControlClient(
    private val loop: EventLoop,
    private val scheduler: Scheduler,
    private val mostBytes: Int,
) {
    private class Idle(
        val channel: Channel,
        val since: Long,
    )

    private val idle = HashMap<InetSocketAddress, ArrayDeque<Idle>>()

    /** Sends [request] to [address] and hands the outcome to [done] within [timeoutMs] milliseconds. */
    fun call(
        address: InetSocketAddress,
        request: ControlRequest,
        timeoutMs: Long,
        done: (ControlResult) -> Unit,
    ) {
        val exchange = Exchange(address, request, done)
        exchange.timer =
            scheduler.after(timeoutMs) { exchange.finish(ControlResult.Failed("no answer within $timeoutMs ms", exchange.sent), false) }
        val kept = takeIdleOrNull(address)
        if (kept != null) exchange.begin(kept) else connect(exchange)
    }

    private fun takeIdleOrNull(address: InetSocketAddress): Channel? {
        val queue = idle[address] ?: return null
        val now = scheduler.now()
        while (queue.isNotEmpty()) {
            val kept = queue.removeLast()
            if (kept.channel.isActive && now - kept.since < IDLE_MS) return kept.channel
            kept.channel.close()
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
                            channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(mostBytes), AnswerHandler())
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
                exchange.finish(ControlResult.Failed("no connection: ${future.cause()?.message}", false), false)
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
            channel.pipeline().get(AnswerHandler::class.java).exchange = this
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
                it.pipeline().get(AnswerHandler::class.java)?.exchange = null
                if (reusable) idle.getOrPut(address) { ArrayDeque() }.addLast(Idle(it, scheduler.now())) else it.close()
            }
            done(result)
        }
    }

    private class AnswerHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
        var exchange: Exchange? = null

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            answer: FullHttpResponse,
        ) {
            val running = exchange
            if (running == null) {
                ctx.close()
                return
            }
            val whole = answer.decoderResult().isSuccess
            val result =
                if (whole) {
                    ControlResult.Answer(
                        answer.status().code(),
                        answer.content().toString(Charsets.UTF_8),
                    )
                } else {
                    ControlResult.Failed("malformed answer", true)
                }
            running.finish(result, whole && HttpUtil.isKeepAlive(answer))
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
