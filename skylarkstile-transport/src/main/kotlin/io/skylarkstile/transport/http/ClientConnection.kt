/*
 * One connection of the HTTP client, which carries one call at a time. Reading pauses while the collector of the body is behind. Responses name
 * no request, so bytes that arrive while no call is in flight end the connection, and so does a response that can't be one.
 */
package io.skylarkstile.transport.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.skylarkstile.http.ResponseDecoder
import io.skylarkstile.http.headFaultOrNull
import kotlinx.coroutines.CompletableDeferred

internal class ClientConnection(
    val channel: Channel,
    private val readAhead: ReadAheadBudget,
    private val decoder: ResponseDecoder,
) : ChannelInboundHandlerAdapter() {
    @Volatile
    private var call: ClientCall? = null
    private var keepAlive = false
    private var requestSent: ChannelFuture? = null
    private var endsWithConnection = false

    /** True after a failed read: the decoder reports the end of a response without a length even then. */
    private var isBroken = false
    private var callCount = 0

    /** Head that is passed on at the end of the read, when what arrived with it is known. */
    private var receivedHead: ResponseHead.Received? = null
    private var hasHead = false

    /** True from the end of a response to the end of the read that completed it. */
    private var isResponseComplete = false

    /** True when nothing that is read belongs to a call any more. */
    private var hasLeftStep = false

    /** Called when the server has sent bytes that belong to no call, with the reason; the connection takes no further call. */
    @Volatile
    var onForeignBytes: (String) -> Unit = {}

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        decoder.mayDecode = { mayDecode() }
    }

    private fun mayDecode(): Boolean {
        if (hasLeftStep) return false
        if (call == null) leaveStep("no call in flight")
        if (isResponseComplete) receivedBehind()
        return !hasLeftStep
    }

    /** The first response on a connection is its own; a later one with something behind it may be an earlier one, or end inside its own. */
    private fun receivedBehind() {
        leaveStep("bytes behind a response")
        if (callCount > 1) isResponseComplete = false else passOn()
    }

    /** Ends the connection, since what arrives can't be attributed to calls any more. */
    private fun leaveStep(reason: String) {
        hasLeftStep = true
        // On the first call, bytes that are no response may just be a faulty one.
        if (callCount > 1 || call == null || isResponseComplete) onForeignBytes(reason)
        channel.close()
    }

    /** Sends [message] unless [beforeSend] returns `false`; returns whether it was sent. Check and write are one task on the event loop. */
    suspend fun send(
        newCall: ClientCall,
        message: FullHttpRequest,
        beforeSend: () -> Boolean,
    ): Boolean {
        val sent = CompletableDeferred<Boolean>()
        channel.eventLoop().execute {
            if (!channel.isActive) {
                message.release()
                newCall.head.complete(ResponseHead.Closed(sent = false))
                sent.complete(true)
            } else if (beforeSend()) {
                call = newCall
                callCount++
                hasHead = false
                decoder.requestSent(message.method())
                requestSent = channel.writeAndFlush(message).addListener { if (!it.isSuccess) channel.close() }
                sent.complete(true)
            } else {
                message.release()
                sent.complete(false)
            }
        }
        return sent.await()
    }

    /** Records that the collector has consumed [bytes] bytes, and resumes reading if needed. */
    fun bodyConsumed(
        owner: ClientCall,
        bytes: Int,
    ) {
        val left = owner.buffered.addAndGet(-bytes)
        readAhead.add(-bytes)
        val isCollectorBehind = left > 0 && (left >= LOW_WATERMARK_BYTES || readAhead.isFull)
        if (!isCollectorBehind && !channel.config().isAutoRead) channel.config().isAutoRead = true
    }

    /** Records that the rest of the body is no longer needed. */
    fun bodyAbandoned(owner: ClientCall) = channel.eventLoop().execute {
        owner.isBodyAbandoned = true
        readAhead.add(-owner.buffered.getAndSet(0))
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (message is HttpObject) receive(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) = passOn()

    private fun passOn() {
        val current = call ?: return
        if (hasLeftStep && !isResponseComplete) return
        receivedHead?.let { current.head.complete(it) }
        receivedHead = null
        if (isResponseComplete) completeCall(current)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        passOn()
        val current = call ?: return
        call = null
        current.head.complete(ResponseHead.Closed(sent = true))
        current.bodyParts.close()
    }

    @Deprecated("Netty's name for this event")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        isBroken = true
        ctx.close()
    }

    private fun receive(message: HttpObject) {
        val current = call
        if (current == null || hasLeftStep) return
        if (message.decoderResult().isFailure) return leaveStep("malformed response")
        if (message is HttpResponse) receiveHead(message)
        if (message is HttpContent && !hasLeftStep) receiveBody(current, message)
        if (message is LastHttpContent && hasHead && !hasLeftStep) receiveEnd()
    }

    private fun receiveHead(response: HttpResponse) {
        val fault = headFaultOrNull(response)
        if (fault != null) return leaveStep(fault)
        if (response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) return leaveStep("a change of protocol that wasn't asked for")
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        keepAlive = HttpUtil.isKeepAlive(response)
        val length = if (HttpUtil.isContentLengthSet(response)) HttpUtil.getContentLength(response) else null
        endsWithConnection = length == null && !HttpUtil.isTransferEncodingChunked(response)
        hasHead = true
        receivedHead = ResponseHead.Received(response.status().code(), HttpHeaders(response.headers().map { it.key to it.value }), length)
    }

    private fun receiveBody(
        current: ClientCall,
        content: HttpContent,
    ) {
        val n = content.content().readableBytes()
        if (n == 0 || !hasHead || current.isBodyAbandoned) return
        readAhead.add(n)
        // Reading is paused before the part is passed on, so that the collector always resumes it after consuming the last part.
        if (current.buffered.addAndGet(n) > HIGH_WATERMARK_BYTES || readAhead.isFull) channel.config().isAutoRead = false
        current.bodyParts.trySend(ByteBufUtil.getBytes(content.content()))
    }

    private fun receiveEnd() {
        // A reset that meets the sending of the request isn't reported as a failed read.
        val isCutOff = endsWithConnection && !channel.isActive && (isBroken || requestSent?.isSuccess != true)
        isResponseComplete = !isCutOff
    }

    private fun completeCall(current: ClientCall) {
        call = null
        isResponseComplete = false
        current.reusable = keepAlive && requestSent?.isSuccess == true && !hasLeftStep
        current.complete = true
        current.bodyParts.close()
    }

    private companion object {
        const val HIGH_WATERMARK_BYTES = 262_144
        const val LOW_WATERMARK_BYTES = 65_536
    }
}
