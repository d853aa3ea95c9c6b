/*
 * HTTP server for small requests and responses: readiness, addresses, metrics, the state dump, and calls of other instances. Clients that aren't
 * trusted may reach it, so it holds no bodies, answers one request of a connection after the other, and bounds its connections.
 */
package io.skylarkstile.gateway.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.timeout.IdleStateHandler
import java.net.InetSocketAddress

private const val MAX_HEADER_BYTES = 8_192

/** Bodies up to this size are read and ignored, since no request needs one. */
private const val MAX_BODY_BYTES = 65_536
private const val IDLE_S = 30
private const val BACKLOG = 256
private const val OK = 200
private const val BAD_REQUEST = 400
private const val BODY_TOO_LARGE = 413

/** Default bound on the connections to one address, for servers that only this system's own processes reach. */
private const val DEFAULT_MAX_CONNECTIONS = 1_024

/** Holds one response. */
data class ControlResponse(
    val status: Int,
    val body: String = "",
    val contentType: String = "application/json",
)

/**
 * Serves requests at [address] with the responses of [answer], which gets the method, the path and the query parameters. At [maxConnections], a
 * new connection takes the place of an idle one.
 */
fun serveControl(
    loop: EventLoop,
    address: InetSocketAddress,
    maxConnections: Int = DEFAULT_MAX_CONNECTIONS,
    answer: (method: String, path: String, query: Map<String, List<String>>) -> ControlResponse,
): Channel {
    val limiter = ConnectionLimiter<ControlHandler>(maxConnections)
    return ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val handler = ControlHandler(channel, limiter, answer)
                    if (!limiter.tryAdd(channel, handler)) return
                    channel.pipeline().addLast(handler.decoder, HttpResponseEncoder(), IdleStateHandler(0, 0, IDLE_S), handler)
                }
            },
        ).bind(address)
        .sync()
        .channel()
}

private class ControlHandler(
    private val channel: Channel,
    private val limiter: ConnectionLimiter<ControlHandler>,
    private val answer: (String, String, Map<String, List<String>>) -> ControlResponse,
) : SimpleChannelInboundHandler<HttpObject>(),
    LimitedConnection {
    val decoder = StrictRequestDecoder(MAX_HEADER_BYTES) { isClosing || !channel.isWritable }
    private var request: HttpRequest? = null
    private var bodyBytes = 0L
    private var isClosing = false
    override val isServing = false

    override fun evict() {
        channel.close()
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        message: HttpObject,
    ) {
        if (isClosing) return
        if (message is HttpRequest) begin(ctx, message)
        if (message is HttpContent && request != null) read(ctx, message)
    }

    private fun begin(
        ctx: ChannelHandlerContext,
        message: HttpRequest,
    ) {
        if (message.decoderResult().isFailure) return respond(ctx, ControlResponse(BAD_REQUEST), isLast = true)
        request = message
        bodyBytes = 0
        val isTooLarge = HttpUtil.getContentLength(message, 0L) > MAX_BODY_BYTES
        // A client that waits for permission to send its body gets its response without it.
        if (isTooLarge || HttpUtil.is100ContinueExpected(message)) {
            respond(ctx, if (isTooLarge) ControlResponse(BODY_TOO_LARGE) else answerOf(message), isLast = true)
        }
    }

    private fun read(
        ctx: ChannelHandlerContext,
        part: HttpContent,
    ) {
        val message = request ?: return
        bodyBytes += part.content().readableBytes()
        when {
            part.decoderResult().isFailure -> respond(ctx, ControlResponse(BAD_REQUEST), isLast = true)
            bodyBytes > MAX_BODY_BYTES -> respond(ctx, ControlResponse(BODY_TOO_LARGE), isLast = true)
            part is LastHttpContent -> respond(ctx, answerOf(message), isLast = !HttpUtil.isKeepAlive(message))
        }
    }

    private fun answerOf(request: HttpRequest): ControlResponse {
        val uri = QueryStringDecoder(request.uri())
        return answer(request.method().name(), uri.path(), uri.parameters())
    }

    private fun respond(
        ctx: ChannelHandlerContext,
        result: ControlResponse,
        isLast: Boolean,
    ) {
        val isHead = request?.method() == HttpMethod.HEAD
        request = null
        if (result.status == OK) limiter.served(this)
        val text = result.body.encodeToByteArray()
        val body = if (isHead) Unpooled.EMPTY_BUFFER else Unpooled.wrappedBuffer(text)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(result.status), body)
        HttpUtil.setContentLength(response, text.size.toLong())
        if (text.isNotEmpty()) response.headers().set(HttpHeaderNames.CONTENT_TYPE, result.contentType)
        if (isLast) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = ctx.writeAndFlush(response)
        if (!isLast) return
        isClosing = true
        written.addListener(ChannelFutureListener.CLOSE)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (channel.isWritable && !isClosing) decoder.resume()
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        event: Any,
    ) {
        ctx.close()
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }
}
