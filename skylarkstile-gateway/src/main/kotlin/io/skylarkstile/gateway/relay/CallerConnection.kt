/*
 * Handles a connection from a caller: reads one request at a time, rejects malformed ones and writes the responses.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.admission.Admission
import io.skylarkstile.gateway.http.ConnectionLimiter
import io.skylarkstile.gateway.http.LimitedConnection
import io.skylarkstile.gateway.http.StrictRequestDecoder
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.CallerLimits
import io.skylarkstile.http.containsRequestLine

private val log = KotlinLogging.logger {}

/** Limits until the first configuration is loaded. */
private val defaultLimits = CallerLimits(headerBytes = 16_384, bodyBytes = 4_194_304, headerTimeoutMs = 3_000, idleTimeoutMs = 15_000)

/** Handles one connection; runs on the event loop. */
internal class CallerConnection(
    private val serving: RelayContext,
    private val channel: Channel,
    private val limiter: ConnectionLimiter<CallerConnection>,
) : ChannelInboundHandlerAdapter(),
    LimitedConnection {
    private lateinit var ctx: ChannelHandlerContext

    /** Decodes the next request when the one before it has been answered and its answer is read. */
    val decoder =
        StrictRequestDecoder(serving.configuration?.limits?.headerBytes ?: defaultLimits.headerBytes) {
            isBusy || isClosing || !channel.isWritable
        }
    private var request: HttpRequest? = null
    private val body = RequestBody(serving.bodies)

    /** Memory that the head of the request in progress takes of the budget for heads, in bytes. */
    private var reservedHeadBytes = 0L

    /** Time of the last received part of the request in progress. */
    private var receivedAt = 0L

    /** True while the body of a request that has been refused is read and dropped, so that its sender can read the refusal. */
    private var isDiscarding = false
    private var run: CallRun? = null
    private var isBusy = false
    private var isKeepAlive = true
    private var isClosing = false
    private var timer: Timer? = null

    /** True while no request is being received or answered. */
    val isIdle: Boolean get() = !isBusy && !isDiscarding && request == null
    override val isServing: Boolean get() = isBusy
    private val limits: CallerLimits get() = serving.configuration?.limits ?: defaultLimits

    override fun channelActive(ctx: ChannelHandlerContext) {
        this.ctx = ctx
        waitForRequest()
    }

    override fun evict() {
        channel.close()
    }

    /** Returns whether a request is being received and nothing of it has arrived since [since]. */
    fun isStalled(since: Long): Boolean = request != null && !isBusy && receivedAt <= since

    /** Rejects the request that is being received, because others need its memory. It has not run. */
    fun rejectStalled() = reject(REQUEST_TIMEOUT, "request stalled while memory is short")

    /** Closes the connection if it is idle. */
    fun closeIfIdle() {
        if (isIdle) ctx.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        if (isClosing) ReferenceCountUtil.release(message) else process(message)
    }

    private fun process(message: Any) {
        try {
            if (message is HttpRequest) begin(message)
            if (message is HttpContent && isDiscarding) return discard(message)
            if (message is HttpContent && request != null) append(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun begin(message: HttpRequest) {
        val failure = message.decoderResult().cause()
        if (failure != null) return reject(if (failure is TooLongFrameException) HEADERS_TOO_LARGE else BAD_REQUEST, "malformed request")
        if (message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING) && !HttpUtil.isTransferEncodingChunked(message)) {
            return reject(BAD_REQUEST, "unsupported transfer encoding")
        }
        if (containsRequestLine(message.headers())) return reject(BAD_REQUEST, "a request line within the head of another request")
        request = message
        receivedAt = serving.scheduler.now()
        serving.receiving.add(this)
        isKeepAlive = HttpUtil.isKeepAlive(message)
        timer?.cancel()
        timer = serving.scheduler.after(limits.headerTimeoutMs * REQUEST_TIMEOUT_FACTOR) { reject(REQUEST_TIMEOUT, "request incomplete") }
        val length = HttpUtil.getContentLength(message, 0L)
        if (length > limits.bodyBytes) return reject(BODY_TOO_LARGE, "body too large")
        if (!tryReserveHead(message)) return refuseLargeHead(message)
        if (!fits { body.tryReserve(length) }) return refuseBody(message, length)
        if (HttpUtil.is100ContinueExpected(
                message,
            )
        ) {
            ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
    }

    private fun tryReserveHead(message: HttpRequest): Boolean {
        val bytes = headBytes(message)
        if (!fits { serving.heads.tryReserve(bytes) }) return false
        reservedHeadBytes = bytes
        return true
    }

    /** Refuses [message], whose head can't be held, and closes the connection: what follows is read for no one. */
    private fun refuseLargeHead(message: HttpRequest) {
        val call = serving.codec.readCallOrNull(message) ?: return reject(BAD_REQUEST, "invalid request head")
        logRefusal(call, Admission.Refused(SERVICE_UNAVAILABLE, "memory-full", HEAD_RETRY_AFTER_MS))
        isClosing = true
        dropRequest()
        ctx.writeAndFlush(refusalOf(call, HEAD_RETRY_AFTER_MS)).addListener(ChannelFutureListener.CLOSE)
    }

    /** Returns whether [reserve] finds memory, if need be in place of a request that has stalled. */
    private inline fun fits(reserve: () -> Boolean): Boolean = reserve() || (serving.rejectStalled(this) && reserve())

    private fun append(part: HttpContent) {
        receivedAt = serving.scheduler.now()
        if (part.decoderResult().isFailure) return reject(BAD_REQUEST, "malformed body")
        val data = part.content()
        if (body.size + data.readableBytes() > limits.bodyBytes) return reject(BODY_TOO_LARGE, "body too large")
        val message = request ?: return
        if (!fits {
                body.tryAdd(data, ctx.alloc())
            }
        ) {
            return refuseBody(message, (body.size + data.readableBytes()).toLong(), part is LastHttpContent)
        }
        if (part is LastHttpContent) dispatch()
    }

    /** Refuses [message], whose body of [size] bytes can't be held, at once; [isRead] is true if it has no further part. */
    private fun refuseBody(
        message: HttpRequest,
        size: Long,
        isRead: Boolean = false,
    ) {
        val call = serving.codec.readCallOrNull(message) ?: return reject(BAD_REQUEST, "invalid request head")
        val retryAfterMs = serving.bodies.retryAfterMs(size, serving.scheduler.now())
        logRefusal(call, Admission.Refused(SERVICE_UNAVAILABLE, "memory-full", retryAfterMs))
        // A sender that waits for permission to send its body may not send it after a refusal.
        if (serving.isLeaving || HttpUtil.is100ContinueExpected(message)) isKeepAlive = false
        ctx.writeAndFlush(refusalOf(call, retryAfterMs))
        dropRequest()
        isDiscarding = true
        timer = serving.scheduler.after(limits.headerTimeoutMs * REQUEST_TIMEOUT_FACTOR) { ctx.close() }
        if (isRead || HttpUtil.is100ContinueExpected(message)) endDiscarding()
    }

    private fun refusalOf(
        call: CallHead,
        retryAfterMs: Long,
    ): DefaultFullHttpResponse {
        val answer = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER)
        HttpUtil.setContentLength(answer, 0)
        serving.codec.addOwnHeaders(answer.headers(), call.id, retryAfterMs)
        if (!isKeepAlive || isClosing) answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return answer
    }

    private fun discard(part: HttpContent) {
        if (part is LastHttpContent) endDiscarding()
    }

    private fun endDiscarding() {
        isDiscarding = false
        if (!isKeepAlive) {
            isClosing = true
            ctx.flush().close()
        } else {
            waitForRequest()
        }
    }

    private fun dispatch() {
        timer?.cancel()
        val message = request ?: return
        val arrivedAt = serving.scheduler.now()
        request = null
        serving.receiving.remove(this)
        val content = body.take()
        val call = serving.codec.readCallOrNull(message)
        if (call == null) {
            content.release()
            return reject(BAD_REQUEST, "invalid request head")
        }
        isBusy = true
        if (serving.isRefusingCalls) {
            content.release()
            return responseTo(call).refuse(SERVICE_UNAVAILABLE, "leaving", SHUTDOWN_RETRY_AFTER_MS)
        }
        val admission = serving.admission.admit(arrivedAt, call, serving.configuration)
        if (admission is Admission.PendingTokens) {
            serving.pendingAdmissions++
            serving.admission.completeAdmission(arrivedAt, call, admission, serving::configuration) { now, decided ->
                serving.pendingAdmissions--
                admitted(call, content, arrivedAt, now, decided)
            }
        } else {
            admitted(call, content, arrivedAt, arrivedAt, admission)
        }
    }

    private fun admitted(
        call: CallHead,
        content: ByteBuf,
        arrivedAt: Long,
        now: Long,
        admission: Admission,
    ) {
        val hasCallerLeft = !ctx.channel().isActive
        if (hasCallerLeft && admission is Admission.Admitted) serving.admission.refund(now, admission)
        if (hasCallerLeft || admission !is Admission.Admitted) content.release()
        if (hasCallerLeft) return
        when (admission) {
            is Admission.Refused -> {
                logRefusal(call, admission)
                responseTo(call).refuse(admission.status, admission.reason, admission.retryAfterMs)
            }

            is Admission.Admitted -> {
                val started = CallRun(serving, responseTo(call), call, content, admission, serviceOf(admission), arrivedAt)
                run = started
                started.start()
            }

            is Admission.PendingTokens -> error("admission decision is still undecided")
        }
    }

    private fun responseTo(call: CallHead): CallerResponse = ResponseGuard(call, ResponseWriter(call))

    private fun logRefusal(
        call: CallHead,
        refused: Admission.Refused,
    ) {
        serving.metrics.recordRefusal(refused.reason)
        if (!serving.callLogLimiter.tryAcquire(serving.scheduler.now())) return
        log.event(
            Level.INFO,
            "call-refused",
            "call" to call.id,
            "status" to refused.status,
            "workspace" to refused.workspace,
            "retryAfterMs" to refused.retryAfterMs,
            "part" to refused.shareState?.fraction,
            "level" to refused.shareState?.level?.toLong(),
            "fleetLevel" to refused.shareState?.fleetLevel?.toLong(),
            "beyondShare" to refused.shareState?.admittedBeyondShare?.toLong(),
            "configuration" to serving.configuration?.version,
            "outcome" to refused.reason,
        ) { refused.reason }
    }

    private fun serviceOf(admission: Admission.Admitted): String {
        val services = admission.route.services
        var remaining = serving.random() * services.sumOf { it.weight }
        return (services.firstOrNull { service -> (remaining - service.weight).also { remaining = it } < 0 } ?: services.last()).service
    }

    private fun reject(
        status: Int,
        detail: String,
    ) {
        if (isClosing) return
        if (serving.callLogLimiter.tryAcquire(serving.scheduler.now())) {
            log.event(Level.INFO, "request-rejected", "caller" to ctx.channel().remoteAddress(), "status" to status) { detail }
        }
        isClosing = true
        dropRequest()
        val answer = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER)
        HttpUtil.setContentLength(answer, 0)
        answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        ctx.writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE)
    }

    private fun dropRequest() {
        timer?.cancel()
        request = null
        serving.receiving.remove(this)
        releaseHead()
        body.drop(serving.scheduler.now())
    }

    private fun releaseHead() {
        serving.heads.release(reservedHeadBytes)
        reservedHeadBytes = 0
    }

    private fun responseWritten(keepAlive: Boolean) {
        run = null
        isBusy = false
        limiter.served(this)
        releaseHead()
        body.release(serving.scheduler.now())
        if (!keepAlive || isClosing) {
            isClosing = true
            return
        }
        waitForRequest()
        decoder.resume()
    }

    private fun waitForRequest() {
        timer?.cancel()
        timer = serving.scheduler.after(limits.idleTimeoutMs) { closeIfIdle() }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        run?.callerWritable(ctx.channel().isWritable)
        if (channel.isWritable && !isBusy && !isClosing) decoder.resume()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isClosing = true
        dropRequest()
        run?.callerDisconnected()
        run = null
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        log.event(Level.DEBUG, "caller-connection-failed", "caller" to ctx.channel().remoteAddress()) { cause.message ?: "failed" }
        ctx.close()
    }

    /** Writes the response to [call]. */
    private inner class ResponseWriter(
        private val call: CallHead,
    ) : CallerResponse {
        override val isWritable: Boolean get() = ctx.channel().isWritable

        override fun refuse(
            status: Int,
            reason: String,
            retryAfterMs: Long?,
        ) {
            val answer = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER)
            HttpUtil.setContentLength(answer, 0)
            serving.codec.addOwnHeaders(answer.headers(), call.id, retryAfterMs)
            setConnectionHeader(answer.headers())
            end(ctx.writeAndFlush(answer))
        }

        override fun begin(
            status: Int,
            reasonPhrase: String,
            headers: HttpHeaders,
            contentLength: Long?,
        ) {
            val answer = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus(status, reasonPhrase), headers)
            if (contentLength != null) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, contentLength)
            } else if (call.method != HttpMethod.HEAD) {
                // The encoder doesn't know the request: with chunks it would send the last one after the head, before the next response.
                HttpUtil.setTransferEncodingChunked(answer, true)
            }
            setConnectionHeader(headers)
            ctx.write(answer)
        }

        override fun writeBody(data: ByteBuf) {
            ctx.write(contentOf(data))
        }

        override fun flush() {
            ctx.flush()
        }

        override fun end() = end(ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))

        override fun abort() {
            isClosing = true
            run = null
            releaseHead()
            body.release(serving.scheduler.now())
            ctx.close()
        }

        private fun setConnectionHeader(headers: HttpHeaders) {
            if (serving.isLeaving) isKeepAlive = false
            if (!isKeepAlive) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun end(written: io.netty.channel.ChannelFuture) {
            if (!isKeepAlive) written.addListener(ChannelFutureListener.CLOSE)
            responseWritten(isKeepAlive)
        }
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val SERVICE_UNAVAILABLE = 503

        /** Retry-After value when the memory for heads is used up, in milliseconds: heads are held for the time of their calls. */
        const val HEAD_RETRY_AFTER_MS = 500L

        /** Multiple of the header timeout within which the whole request must arrive. */
        const val REQUEST_TIMEOUT_FACTOR = 3
    }
}
