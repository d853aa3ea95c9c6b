/*
 * Runs one exchange at a time on a connection of the control client. Responses name no request, so bytes that arrive while no request is in
 * flight end the connection, and so does a response that can't be one.
 */
package io.skylarkstile.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.skylarkstile.http.ResponseDecoder
import io.skylarkstile.http.headFaultOrNull

/** Describes bytes that belong to no exchange; [start] holds the first ones as text, if they weren't decoded. */
internal data class ForeignControlBytes(
    val isInFlight: Boolean,
    val exchangesOnConnection: Int,
    val bytes: Long,
    val start: String?,
    val reason: String,
)

/** Bytes of foreign data that a log line shows: enough for a status line and a header. */
private const val MAX_LOGGED_BYTES = 96

/** Handles one connection; a response of more than [maxResponseBytes] is a failure. Runs on the event loop. */
internal class ControlConnection(
    private val decoder: ResponseDecoder,
    private val maxResponseBytes: Int,
) : ChannelInboundHandlerAdapter() {
    /** Says what the next byte on the connection may belong to. */
    private sealed interface State {
        /** No request is in flight, and no byte may arrive. */
        data object Idle : State

        /** A request has been sent, and the final head of its response hasn't arrived. */
        class AwaitingResponse(
            val done: (ControlResult) -> Unit,
        ) : State

        /** The final head of the response has arrived. */
        class Responding(
            val done: (ControlResult) -> Unit,
            val head: HttpResponse,
            val body: CompositeByteBuf,
        ) : State

        /** The response is complete; it is passed on when all that was read with it is known. */
        class Responded(
            val done: (ControlResult) -> Unit,
            val answer: ControlResult.Answer,
            val isKeptAlive: Boolean,
        ) : State

        /** Nothing that is read belongs to an exchange any more. No other state follows. */
        data object Ended : State
    }

    lateinit var channel: Channel
        private set
    private var state: State = State.Idle
    private var exchangeCount = 0
    private var requestWritten: ChannelFuture? = null

    /** Called when the connection can take another exchange. */
    var onIdle: () -> Unit = {}

    /** Called when the server has sent bytes that belong to no exchange; the connection takes no further one. */
    var onForeignBytes: (ForeignControlBytes) -> Unit = {}
    val isUsable: Boolean get() = channel.isActive && state == State.Idle

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        channel = ctx.channel()
        decoder.mayDecode = ::mayDecode
    }

    /** Sends [request] and passes the outcome to [done]. */
    fun send(
        request: FullHttpRequest,
        done: (ControlResult) -> Unit,
    ) {
        state = State.AwaitingResponse(done)
        exchangeCount++
        decoder.requestSent(request.method())
        requestWritten = channel.writeAndFlush(request)
    }

    /** Closes the connection without passing an outcome on. */
    fun abandon() {
        end()
    }

    private fun mayDecode(data: ByteBuf): Boolean {
        when (val current = state) {
            State.Idle -> leaveStep("no exchange in flight", data)
            is State.Responded -> receivedBehind(current, data)
            else -> Unit
        }
        return state is State.AwaitingResponse || state is State.Responding
    }

    /** The first response on a connection is its own; a later one with something behind it may be an earlier one, or end inside its own. */
    private fun receivedBehind(
        responded: State.Responded,
        data: ByteBuf,
    ) {
        if (exchangeCount > 1) return leaveStep("bytes behind a response on a reused connection", data)
        report("bytes behind a response", data)
        end()
        responded.done(responded.answer)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpResponse) head(message)
            if (message is HttpContent) content(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun head(response: HttpResponse) {
        val awaiting = state as? State.AwaitingResponse ?: return
        val status = response.status()
        val fault = headFaultOrNull(response)
        when {
            fault != null -> leaveStep(fault)
            status == HttpResponseStatus.SWITCHING_PROTOCOLS -> leaveStep("a change of protocol that wasn't asked for")
            status.codeClass() == HttpStatusClass.INFORMATIONAL -> limitInterim()
            HttpUtil.getContentLength(response, 0L) > maxResponseBytes -> fail("response of more than $maxResponseBytes bytes")
            else -> state = State.Responding(awaiting.done, response, channel.alloc().compositeBuffer(Int.MAX_VALUE))
        }
    }

    private fun limitInterim() {
        if (decoder.receivedBytes > maxResponseBytes) leaveStep("more than $maxResponseBytes bytes of interim heads")
    }

    private fun content(part: HttpContent) {
        val responding = state as? State.Responding ?: return
        if (part.decoderResult().isFailure) return leaveStep("malformed body")
        val data = part.content()
        if (responding.body.readableBytes() + data.readableBytes() > maxResponseBytes) {
            return fail("response of more than $maxResponseBytes bytes")
        }
        if (data.isReadable) responding.body.addComponent(true, data.retain())
        if (part is LastHttpContent) complete(responding)
    }

    private fun complete(responding: State.Responding) {
        val answer = ControlResult.Answer(responding.head.status().code(), responding.body.toString(Charsets.UTF_8))
        responding.body.release()
        state = State.Responded(responding.done, answer, HttpUtil.isKeepAlive(responding.head))
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) = passOn()

    private fun passOn() {
        val responded = state as? State.Responded ?: return
        // After a response that arrives before the whole request is sent, the rest of the request would still follow.
        if (responded.isKeptAlive && requestWritten?.isSuccess == true && channel.isActive) {
            state = State.Idle
            onIdle()
        } else {
            end()
        }
        responded.done(responded.answer)
    }

    private fun leaveStep(
        reason: String,
        data: ByteBuf? = null,
    ) {
        // On the first exchange, bytes that are no response may just be a faulty one.
        if (exchangeCount > 1 || state == State.Idle) report(reason, data)
        fail(reason)
    }

    private fun fail(detail: String) {
        val done = doneOrNull()
        end()
        done?.invoke(ControlResult.Failed(detail, true))
    }

    private fun end() {
        (state as? State.Responding)?.body?.release()
        state = State.Ended
        channel.close()
    }

    private fun doneOrNull(): ((ControlResult) -> Unit)? = when (val current = state) {
        is State.AwaitingResponse -> current.done
        is State.Responding -> current.done
        is State.Responded -> current.done
        else -> null
    }

    private fun report(
        reason: String,
        data: ByteBuf?,
    ) {
        val start = data?.toString(data.readerIndex(), minOf(data.readableBytes(), MAX_LOGGED_BYTES), Charsets.ISO_8859_1)
        val bytes = data?.readableBytes()?.toLong() ?: decoder.receivedBytes
        onForeignBytes(ForeignControlBytes(state != State.Idle, exchangeCount, bytes, start, reason))
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        passOn()
        fail("connection closed")
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        passOn()
        fail("connection failed: ${cause.message}")
    }
}
