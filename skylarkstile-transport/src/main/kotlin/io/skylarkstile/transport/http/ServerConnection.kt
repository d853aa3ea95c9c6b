/*
 * One caller connection: requests are answered one after the other in the order of arrival; a few pipelined ones are queued.
 * All fields are used on the connection's event loop only.
 */
package io.skylarkstile.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.skylarkstile.config.log.event
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.io.ByteArrayOutputStream
import io.netty.handler.codec.http.HttpRequest as NettyRequest

private val log = KotlinLogging.logger {}

internal class ServerConnection(
    private val server: NettyHttpServer,
    private val channel: Channel,
) : ChannelInboundHandlerAdapter() {
    val timer = RequestTimer(server.limits.readTimeoutMs, server.limits.idleTimeoutMs)

    private var head: NettyRequest? = null
    private var body = ByteArrayOutputStream(0)
    private var held = 0L
    private val waiting = ArrayDeque<Received>()
    private var job: Job? = null
    private var rejected = false

    private class Received(
        val head: NettyRequest,
        val body: ByteArray,
        val held: Long,
    )

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (!rejected && message is HttpObject) accept(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        job?.cancel(CancellationException("the caller closed the connection"))
        waiting.forEach { server.bufferedBytes.addAndGet(-it.held) }
        waiting.clear()
        server.bufferedBytes.addAndGet(-held)
        held = 0
    }

    @Deprecated("Netty's name for this event")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        log.event(Level.DEBUG, "connection-failed") { "closing a caller connection: ${cause.message}" }
        ctx.close()
    }

    fun close() {
        channel.close()
    }

    /** Closes the connection now if it is between requests, otherwise after the running ones. */
    fun closeWhenIdle() {
        channel.eventLoop().execute { if (job == null && head == null && waiting.isEmpty()) channel.close() }
    }

    private fun accept(message: HttpObject) {
        if (message.decoderResult().isFailure) return reject(statusOf(message.decoderResult().cause()))
        if (message is NettyRequest) begin(message)
        if (message is HttpContent && !rejected) append(message)
        if (message is LastHttpContent && !rejected) complete()
    }

    private fun begin(request: NettyRequest) {
        head = request
        body = ByteArrayOutputStream(0)
        held = 0
        if (HttpUtil.getContentLength(request, 0L) > server.limits.maxBodyBytes) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun append(content: HttpContent) {
        val n = content.content().readableBytes()
        if (n == 0) return
        held += n
        val total = server.bufferedBytes.addAndGet(n.toLong())
        if (held > server.limits.maxBodyBytes) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (total > server.limits.maxBufferedBytes) return reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
        body.write(ByteBufUtil.getBytes(content.content()))
    }

    private fun complete() {
        val request = head ?: return
        waiting.addLast(Received(request, body.toByteArray(), held))
        head = null
        held = 0
        body = ByteArrayOutputStream(0)
        timer.received()
        if (waiting.size > MAX_PIPELINED) channel.config().isAutoRead = false
        if (job == null) next()
    }

    private fun next() {
        val received = waiting.removeFirstOrNull()
        if (received == null) {
            timer.idle()
            if (server.draining) channel.close()
            return
        }
        channel.config().isAutoRead = true
        server.active.incrementAndGet()
        val running = server.scope.launch { answer(received) }
        job = running
        running.invokeOnCompletion {
            server.active.decrementAndGet()
            server.bufferedBytes.addAndGet(-received.held)
            channel.eventLoop().execute {
                job = null
                if (channel.isActive) next()
            }
        }
    }

    private suspend fun answer(received: Received) {
        var started = false
        try {
            val answer = runHandler(received)
            started = true
            write(received.head, answer)
        } catch (e: CancellationException) {
            channel.close()
            throw e
        } catch (e: Exception) {
            if (started) {
                log.event(Level.DEBUG, "answer-broke-off") { "an answer broke off: ${e.message}" }
            } else {
                log.event(Level.WARN, "answer-failed", cause = e) { "answering failed" }
            }
            channel.close()
        }
    }

    private suspend fun runHandler(received: Received): HttpAnswer = try {
        server.handler.handle(received.toRequest())
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.event(Level.ERROR, "handler-failed", cause = e) { "the handler of a request failed" }
        wholeAnswer(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), "text/plain", "internal error\n".toByteArray())
    }

    private fun Received.toRequest(): HttpRequest {
        val decoded = QueryStringDecoder(head.uri())
        return HttpRequest(
            method = head.method().name(),
            path = decoded.path(),
            query = decoded.parameters().mapValues { it.value.first() },
            headers = HttpHeaders(head.headers().map { it.key to it.value }),
            body = body,
            rawUri = head.uri(),
            queryLists = decoded.parameters(),
        )
    }

    private suspend fun write(
        request: NettyRequest,
        answer: HttpAnswer,
    ) {
        val keep = HttpUtil.isKeepAlive(request) && !server.draining
        val chunked = answer.length == null && request.protocolVersion() == HttpVersion.HTTP_1_1
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status))
        answer.headers.fields.forEach { (name, value) -> response.headers().add(name, value) }
        answer.length?.let { HttpUtil.setContentLength(response, it) }
        if (chunked) HttpUtil.setTransferEncodingChunked(response, true)
        val close = !keep || (answer.length == null && !chunked)
        if (close) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.write(response)
        if (answer.length == null) channel.flush()
        if (request.method().name() != "HEAD") answer.body.collect { send(it) }
        withTimeout(WRITE_TIMEOUT_MS) { channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).awaitDone() }
        if (close) channel.close()
    }

    /** Writes one part and waits until the socket has taken it, so that a slow reader slows down its own answer only. */
    private suspend fun send(part: ByteArray) =
        withTimeout(WRITE_TIMEOUT_MS) { channel.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(part))).awaitDone() }

    private fun reject(status: HttpResponseStatus) {
        rejected = true
        server.bufferedBytes.addAndGet(-held)
        held = 0
        val text =
            Unpooled.copiedBuffer(
                """{"type":"about:blank","title":"${status.reasonPhrase()}","status":${status.code()},"outcome":"not-run"}""",
                Charsets.UTF_8,
            )
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json")
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        HttpUtil.setContentLength(response, text.readableBytes().toLong())
        val running = job
        if (running == null) {
            channel.writeAndFlush(response).addListener { channel.close() }
        } else {
            running.invokeOnCompletion { channel.writeAndFlush(response).addListener { channel.close() } }
        }
    }

    private fun statusOf(cause: Throwable): HttpResponseStatus = when (cause) {
        is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
        is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        is TooLongFrameException -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        else -> HttpResponseStatus.BAD_REQUEST
    }

    private companion object {
        /** Requests queued behind the running one before reading stops. */
        const val MAX_PIPELINED = 8

        /** A reader that takes nothing for this long loses its connection. */
        const val WRITE_TIMEOUT_MS = 30_000L
    }
}
