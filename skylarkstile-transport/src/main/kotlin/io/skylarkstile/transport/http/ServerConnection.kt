/*
 * Server side of one caller connection. Requests are handled one at a time in order of arrival; a few pipelined ones are queued.
 * Fields are accessed on the connection's event loop only, unless they are volatile.
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
import io.netty.handler.codec.http.HttpMethod
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
import io.skylarkstile.http.containsRequestLine
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
    val timer = RequestTimer(server.limits.readTimeoutMs, server.limits.idleTimeoutMs, ::reserveIncoming)

    private var head: NettyRequest? = null
    private var body = ByteArrayOutputStream(0)

    /** Bytes reserved in the memory budget for the request that is being received. */
    private var reservedBytes = 0L
    private val queuedRequests = ArrayDeque<ReceivedRequest>()
    private var handlerJob: Job? = null

    /** Status for a request that could not be received. It is sent after the responses to earlier requests; nothing more is read. */
    private var rejection: HttpResponseStatus? = null

    /** Time of the last change of state by [System.nanoTime]; read by other threads. */
    @Volatile
    var stateChangedAt = System.nanoTime()
        private set

    @Volatile
    private var state = State.IDLE

    private enum class State { IDLE, RECEIVING, ANSWERING, WRITING }

    /** Whether the server has selected this connection for [evict], so that it is not selected twice. */
    @Volatile
    private var isBeingEvicted = false

    /** Returns whether the connection waits for its caller's next request or for the rest of one. */
    val isWaitingForRequest: Boolean get() = !isBeingEvicted && (state == State.IDLE || state == State.RECEIVING)

    /** Returns whether the connection has waited for its caller for longer than the stall threshold while it holds memory. */
    val isStalled: Boolean get() =
        !isBeingEvicted &&
            (state == State.RECEIVING || state == State.WRITING) &&
            System.nanoTime() - stateChangedAt > STALL_THRESHOLD_MS * NANOS_PER_MS

    private class ReceivedRequest(
        val head: NettyRequest,
        val body: ByteArray,
        val reservedBytes: Long,
    )

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (rejection == null && message is HttpObject) handleMessage(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        handlerJob?.cancel(CancellationException("the caller closed the connection"))
        queuedRequests.forEach { server.memory.release(it.reservedBytes) }
        queuedRequests.clear()
        releaseReserved()
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

    /** Closes the connection now if it is idle; otherwise it is closed after its running requests. */
    fun closeWhenIdle() {
        channel.eventLoop().execute { if (handlerJob == null && head == null && queuedRequests.isEmpty()) channel.close() }
    }

    /** Closes the connection unless it is handling a request by now; a partially received request gets a 503. [done] always runs. */
    fun evict(done: () -> Unit = {}) {
        isBeingEvicted = true
        channel.eventLoop().execute {
            when (state) {
                State.RECEIVING -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
                State.IDLE, State.WRITING -> channel.close()
                State.ANSWERING -> isBeingEvicted = false
            }
            done()
        }
    }

    private fun changeState(newState: State) {
        state = newState
        stateChangedAt = System.nanoTime()
    }

    /** Reserves memory for [bytes] received bytes; returns whether they may be processed. */
    private fun reserveIncoming(bytes: Int): Boolean {
        if (rejection != null) return false
        if (state == State.IDLE) changeState(State.RECEIVING)
        if (!reserve(bytes.toLong())) return false
        reservedBytes += bytes
        return true
    }

    private fun reserve(bytes: Long): Boolean {
        val taken = server.memory.tryReserve(bytes)
        if (!taken) reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
        server.evictStalledConnection()
        return taken
    }

    private fun releaseReserved() {
        server.memory.release(reservedBytes)
        reservedBytes = 0
    }

    private fun handleMessage(message: HttpObject) {
        if (message.decoderResult().isFailure) return reject(statusOf(message.decoderResult().cause()))
        if (message is NettyRequest) beginRequest(message)
        if (message is HttpContent && rejection == null) appendBody(message)
        if (message is LastHttpContent && rejection == null) completeRequest()
    }

    private fun beginRequest(request: NettyRequest) {
        if (containsRequestLine(request.headers())) return reject(HttpResponseStatus.BAD_REQUEST)
        head = request
        body = ByteArrayOutputStream(0)
        if (HttpUtil.getContentLength(request, 0L) > server.limits.maxBodyBytes) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun appendBody(content: HttpContent) {
        val n = content.content().readableBytes()
        if (n == 0) return
        if (body.size() + n > server.limits.maxBodyBytes) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        body.write(ByteBufUtil.getBytes(content.content()))
    }

    private fun completeRequest() {
        val request = head ?: return
        if (!reserve(REQUEST_OVERHEAD_BYTES)) return
        queuedRequests.addLast(ReceivedRequest(request, body.toByteArray(), reservedBytes + REQUEST_OVERHEAD_BYTES))
        head = null
        reservedBytes = 0
        body = ByteArrayOutputStream(0)
        timer.requestReceived()
        if (queuedRequests.size > MAX_PIPELINED) channel.config().isAutoRead = false
        if (handlerJob == null) startNextRequest()
    }

    private fun startNextRequest() {
        val received = queuedRequests.removeFirstOrNull()
        if (received == null) {
            rejection?.let { return writeRejection(it) }
            changeState(if (head == null) State.IDLE else State.RECEIVING)
            timer.requestsAnswered()
            if (server.draining) channel.close()
            return
        }
        changeState(State.ANSWERING)
        if (rejection == null) channel.config().isAutoRead = true
        server.activeRequests.incrementAndGet()
        val running = server.scope.launch { answer(received) }
        handlerJob = running
        running.invokeOnCompletion {
            server.activeRequests.decrementAndGet()
            server.memory.release(received.reservedBytes)
            channel.eventLoop().execute {
                handlerJob = null
                if (channel.isActive) startNextRequest()
            }
        }
    }

    private suspend fun answer(received: ReceivedRequest) {
        var started = false
        try {
            val answer = runHandler(received)
            started = true
            withReservedMemory(answer) { write(received.head, it) }
        } catch (e: CancellationException) {
            channel.close()
            throw e
        } catch (e: Throwable) {
            // Also catches errors such as OutOfMemoryError: the caller would wait on a connection that stays open without a response.
            if (started) {
                log.event(Level.DEBUG, "answer-broke-off") { "a response ended early: ${e.message}" }
            } else {
                log.event(Level.WARN, "answer-failed", cause = e) { "sending a response failed" }
            }
            channel.close()
        }
    }

    private suspend fun runHandler(received: ReceivedRequest): HttpAnswer = try {
        server.handler.handle(received.toRequest())
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.event(Level.ERROR, "handler-failed", cause = e) { "a request handler failed" }
        wholeAnswer(HttpResponseStatus.INTERNAL_SERVER_ERROR.code(), "text/plain", "internal error\n".toByteArray())
    }

    private fun ReceivedRequest.toRequest(): HttpRequest {
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
        val keepAlive = HttpUtil.isKeepAlive(request) && !server.draining
        val hasBody = request.method() != HttpMethod.HEAD
        // With chunks, the response to a HEAD request would be followed by the last one, before the next response.
        val chunked = hasBody && answer.length == null && request.protocolVersion() == HttpVersion.HTTP_1_1
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status))
        answer.headers.fields.forEach { (name, value) -> response.headers().add(name, value) }
        answer.length?.let { HttpUtil.setContentLength(response, it) }
        if (chunked) HttpUtil.setTransferEncodingChunked(response, true)
        val close = !keepAlive || (hasBody && answer.length == null && !chunked)
        if (close) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.write(response)
        if (answer.length == null) channel.flush()
        if (hasBody) answer.body.collect { withWriteTimeout { send(it) } }
        withWriteTimeout { channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).awaitDone() }
        if (close) channel.close()
    }

    /** Reserves memory for a complete response until [write] has ended; without memory a 503 is written instead. */
    private suspend fun withReservedMemory(
        answer: HttpAnswer,
        write: suspend (HttpAnswer) -> Unit,
    ) {
        val bytes = answer.length ?: return write(answer)
        val taken = server.memory.tryReserve(bytes)
        server.evictStalledConnection()
        if (!taken) return write(wholeAnswer(503, PROBLEM_TYPE, problem(HttpResponseStatus.SERVICE_UNAVAILABLE, "unknown").toByteArray()))
        try {
            write(answer)
        } finally {
            server.memory.release(bytes)
        }
    }

    private suspend fun withWriteTimeout(work: suspend () -> Unit) {
        changeState(State.WRITING)
        withTimeout(server.limits.writeTimeoutMs) { work() }
        changeState(State.ANSWERING)
    }

    /** Writes one part and waits until the socket has accepted it, so that a slow reader delays only its own response. */
    private suspend fun send(part: ByteArray) {
        for (from in part.indices step MAX_WRITE_BYTES) {
            val slice = Unpooled.wrappedBuffer(part, from, minOf(MAX_WRITE_BYTES, part.size - from))
            channel.writeAndFlush(DefaultHttpContent(slice)).awaitDone()
        }
    }

    private fun reject(status: HttpResponseStatus) {
        if (rejection != null) return
        rejection = status
        head = null
        body = ByteArrayOutputStream(0)
        releaseReserved()
        if (handlerJob == null) writeRejection(status)
    }

    private fun writeRejection(status: HttpResponseStatus) {
        val text = Unpooled.copiedBuffer(problem(status, "not-run"), Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, PROBLEM_TYPE)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        HttpUtil.setContentLength(response, text.readableBytes().toLong())
        channel.writeAndFlush(response).addListener { channel.close() }
        // Closes the connection when the caller does not read this response.
        timer.requestsAnswered()
    }

    private fun problem(
        status: HttpResponseStatus,
        outcome: String,
    ) = """{"type":"about:blank","title":"${status.reasonPhrase()}","status":${status.code()},"outcome":"$outcome"}"""

    private fun statusOf(cause: Throwable): HttpResponseStatus = when (cause) {
        is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
        is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
        is TooLongFrameException -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
        else -> HttpResponseStatus.BAD_REQUEST
    }

    private companion object {
        /** Number of requests queued behind the running one above which reading pauses. */
        const val MAX_PIPELINED = 8

        /** Callers that read and write steadily pause for less, even on a busy machine; closing their connection would lose a response. */
        const val STALL_THRESHOLD_MS = 250L

        /** Memory counted for a queued request in addition to its bytes. */
        const val REQUEST_OVERHEAD_BYTES = 1_024L

        /** Netty copies each written part to off-heap memory, so large responses are written in parts. */
        const val MAX_WRITE_BYTES = 65_536
        const val PROBLEM_TYPE = "application/problem+json"
    }
}
