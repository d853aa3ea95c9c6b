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
    val timer = RequestTimer(server.limits.readTimeoutMs, server.limits.idleTimeoutMs, ::admit)

    private var head: NettyRequest? = null
    private var body = ByteArrayOutputStream(0)

    /** Bytes taken from the memory budget for the request that is arriving. */
    private var held = 0L
    private val waiting = ArrayDeque<Received>()
    private var job: Job? = null

    /** Answer to the request that could not be received; it follows the answers to the requests before it, and nothing is read after it. */
    private var rejection: HttpResponseStatus? = null

    /** Time of the last change of state on the clock of [System.nanoTime]; read by other threads. */
    @Volatile
    var since = System.nanoTime()
        private set

    @Volatile
    private var state = State.IDLE

    private enum class State { IDLE, RECEIVING, ANSWERING, WRITING }

    /** Whether the server has chosen this connection for [giveUp], so that it is not chosen twice. */
    @Volatile
    private var isChosen = false

    /** Returns whether the connection waits for its caller's next request, or for the rest of it. */
    val isBetweenAnswers: Boolean get() = !isChosen && (state == State.IDLE || state == State.RECEIVING)

    /** Returns whether the connection has held memory for some time while it waits for its caller. */
    val isStalled: Boolean get() =
        !isChosen && (state == State.RECEIVING || state == State.WRITING) && System.nanoTime() - since > STALL_MS * NANOS_PER_MS

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
            if (rejection == null && message is HttpObject) accept(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        job?.cancel(CancellationException("the caller closed the connection"))
        waiting.forEach { server.memory.release(it.held) }
        waiting.clear()
        releaseHeld()
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

    /** Ends the connection unless it has moved on; a request that has not fully arrived gets a 503. [done] runs in any case. */
    fun giveUp(done: () -> Unit = {}) {
        isChosen = true
        channel.eventLoop().execute {
            when (state) {
                State.RECEIVING -> reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
                State.IDLE, State.WRITING -> channel.close()
                State.ANSWERING -> isChosen = false
            }
            done()
        }
    }

    private fun enter(next: State) {
        state = next
        since = System.nanoTime()
    }

    /** Takes memory for [bytes] bytes that have arrived; returns whether they may be read. */
    private fun admit(bytes: Int): Boolean {
        if (rejection != null) return false
        if (state == State.IDLE) enter(State.RECEIVING)
        if (!take(bytes.toLong())) return false
        held += bytes
        return true
    }

    private fun take(bytes: Long): Boolean {
        val taken = server.memory.tryTake(bytes)
        if (!taken) reject(HttpResponseStatus.SERVICE_UNAVAILABLE)
        server.relieve()
        return taken
    }

    private fun releaseHeld() {
        server.memory.release(held)
        held = 0
    }

    private fun accept(message: HttpObject) {
        if (message.decoderResult().isFailure) return reject(statusOf(message.decoderResult().cause()))
        if (message is NettyRequest) begin(message)
        if (message is HttpContent && rejection == null) append(message)
        if (message is LastHttpContent && rejection == null) complete()
    }

    private fun begin(request: NettyRequest) {
        head = request
        body = ByteArrayOutputStream(0)
        if (HttpUtil.getContentLength(request, 0L) > server.limits.maxBodyBytes) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER))
        }
    }

    private fun append(content: HttpContent) {
        val n = content.content().readableBytes()
        if (n == 0) return
        if (body.size() + n > server.limits.maxBodyBytes) return reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
        body.write(ByteBufUtil.getBytes(content.content()))
    }

    private fun complete() {
        val request = head ?: return
        if (!take(REQUEST_BYTES)) return
        waiting.addLast(Received(request, body.toByteArray(), held + REQUEST_BYTES))
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
            rejection?.let { return writeRejection(it) }
            enter(if (head == null) State.IDLE else State.RECEIVING)
            timer.idle()
            if (server.draining) channel.close()
            return
        }
        enter(State.ANSWERING)
        if (rejection == null) channel.config().isAutoRead = true
        server.active.incrementAndGet()
        val running = server.scope.launch { answer(received) }
        job = running
        running.invokeOnCompletion {
            server.active.decrementAndGet()
            server.memory.release(received.held)
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
            holding(answer) { write(received.head, it) }
        } catch (e: CancellationException) {
            channel.close()
            throw e
        } catch (e: Throwable) {
            // Errors such as a full heap count too: a connection that stays open without an answer keeps its caller waiting.
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
        if (request.method().name() != "HEAD") answer.body.collect { waitForCaller { send(it) } }
        waitForCaller { channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).awaitDone() }
        if (close) channel.close()
    }

    /** Counts a whole answer as held until [write] has ended; an answer for which there is no memory is replaced by an error. */
    private suspend fun holding(
        answer: HttpAnswer,
        write: suspend (HttpAnswer) -> Unit,
    ) {
        val bytes = answer.length ?: return write(answer)
        val taken = server.memory.tryTake(bytes)
        server.relieve()
        if (!taken) return write(wholeAnswer(503, PROBLEM_TYPE, problem(HttpResponseStatus.SERVICE_UNAVAILABLE, "unknown").toByteArray()))
        try {
            write(answer)
        } finally {
            server.memory.release(bytes)
        }
    }

    private suspend fun waitForCaller(work: suspend () -> Unit) {
        enter(State.WRITING)
        withTimeout(server.limits.writeTimeoutMs) { work() }
        enter(State.ANSWERING)
    }

    /** Writes one part and waits until the socket has taken it, so that a slow reader slows down its own answer only. */
    private suspend fun send(part: ByteArray) {
        for (from in part.indices step WRITE_BYTES) {
            val slice = Unpooled.wrappedBuffer(part, from, minOf(WRITE_BYTES, part.size - from))
            channel.writeAndFlush(DefaultHttpContent(slice)).awaitDone()
        }
    }

    private fun reject(status: HttpResponseStatus) {
        if (rejection != null) return
        rejection = status
        head = null
        body = ByteArrayOutputStream(0)
        releaseHeld()
        if (job == null) writeRejection(status)
    }

    private fun writeRejection(status: HttpResponseStatus) {
        val text = Unpooled.copiedBuffer(problem(status, "not-run"), Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, PROBLEM_TYPE)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        HttpUtil.setContentLength(response, text.readableBytes().toLong())
        channel.writeAndFlush(response).addListener { channel.close() }
        // Closes the connection when the caller does not take this answer.
        timer.idle()
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
        /** Requests queued behind the running one before reading stops. */
        const val MAX_PIPELINED = 8

        /** Callers that read and write without pause stay below this even on a busy machine; cutting one off would cost it its answer. */
        const val STALL_MS = 250L

        /** What a queued request takes beside its bytes. */
        const val REQUEST_BYTES = 1_024L

        /** Netty copies each written part to memory outside the heap, so large answers are written in parts. */
        const val WRITE_BYTES = 65_536
        const val PROBLEM_TYPE = "application/problem+json"
    }
}
