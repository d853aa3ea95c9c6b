/*
 * HTTP server for small requests and responses: readiness, addresses, metrics, the state dump, and calls of other instances.
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
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.timeout.IdleStateHandler
import java.net.InetSocketAddress

private const val MAX_REQUEST_BYTES = 65_536
private const val IDLE_S = 30
private const val BACKLOG = 256

/** Holds one response. */
data class ControlResponse(
    val status: Int,
    val body: String = "",
    val contentType: String = "application/json",
)

/** Serves requests at [address] with the responses of [answer], which gets the method, the path and the query parameters. */
fun serveControl(
    loop: EventLoop,
    address: InetSocketAddress,
    answer: (method: String, path: String, query: Map<String, List<String>>) -> ControlResponse,
): Channel = ServerBootstrap()
    .group(loop)
    .channel(NioServerSocketChannel::class.java)
    .option(ChannelOption.SO_BACKLOG, BACKLOG)
    .childHandler(
        object : ChannelInitializer<Channel>() {
            override fun initChannel(channel: Channel) {
                channel.pipeline().addLast(
                    HttpServerCodec(),
                    HttpObjectAggregator(MAX_REQUEST_BYTES),
                    IdleStateHandler(0, 0, IDLE_S),
                    ControlHandler(answer),
                )
            }
        },
    ).bind(address)
    .sync()
    .channel()

private class ControlHandler(
    private val answer: (String, String, Map<String, List<String>>) -> ControlResponse,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(
        ctx: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        val uri = QueryStringDecoder(request.uri())
        val result =
            if (request.decoderResult().isSuccess) {
                answer(
                    request.method().name(),
                    uri.path(),
                    uri.parameters(),
                )
            } else {
                ControlResponse(400)
            }
        val body = Unpooled.wrappedBuffer(result.body.encodeToByteArray())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(result.status), body)
        HttpUtil.setContentLength(response, body.readableBytes().toLong())
        if (body.isReadable) response.headers().set(HttpHeaderNames.CONTENT_TYPE, result.contentType)
        val isKeepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess
        if (!isKeepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = ctx.writeAndFlush(response)
        if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
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
