/*
 * Passes the response of a call's target on to its caller: buffers it while the call may still be retried, keeps a failure while another target
 * is tried, forwards streams as they come, and continues a stream with the response of the next target.
 */
package io.skylarkstile.gateway.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Repeatability
import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.gateway.model.Route

/** Maximum number of bytes read of a response that is discarded. */
private const val MAX_DISCARDED_BYTES = 65_536

private const val EVENT_STREAM = "text/event-stream"

internal val SUCCESS_STATUSES = 200..299

/** Statuses that promise the caller that the call wasn't run. */
private val PROMISING_STATUSES = setOf(408, 421, 429, 503)

/** Says what a part of a response body means for its call. */
internal enum class BodyState { Continues, DiscardedEnough, EventTooLarge }

/** Relays the responses to [call] on [route] to [caller]; calls [onBegin] when the first byte goes to the caller. Not thread-safe. */
internal class ResponseRelay(
    private val caller: CallerResponse,
    private val call: CallHead,
    private val route: Route,
    private val onBegin: () -> Unit,
) {
    private enum class Mode { Undecided, Buffer, Forward, Discard }

    /** Splits the body if it is a resumable stream; null once a failure is forwarded, since its body holds no events. */
    private var events = if (route.repeatability == Repeatability.ResumableStream) EventSplitter() else null
    private var boundary: EventBoundary? = null
    private var mode = Mode.Undecided
    private var buffered: BufferedResponse? = null

    /** First whole failure of a target; it is sent if no other target responds better. */
    private var kept: BufferedResponse? = null
    private var contentType: String? = null
    private var discarded = 0
    private var head: ResponseHead? = null
    private var response: HttpResponse? = null

    /** True once a part of a response has gone to the caller. */
    var hasBegun = false
        private set

    /** True while the response of another target can take the place of what has been received, or continue what has gone to the caller. */
    val canBeReplaced: Boolean get() = !hasBegun || events?.isResumable == true

    /** True while a whole failure is kept that can be sent with [sendKept]. */
    val hasKept: Boolean get() = kept != null
    val isForwarding: Boolean get() = mode == Mode.Forward
    val isDiscarding: Boolean get() = mode == Mode.Discard

    /** Id of the last event that has gone to the caller, or null. */
    val lastEventId: String? get() = events?.lastId

    /** True if the stream has stopped inside an event: it has been broken off, even if its response looks complete. */
    val isInsideEvent: Boolean get() = boundary?.isInsideEvent ?: ((events?.bufferedBytes ?: 0) > 0)

    /** Prepares for the response of another target. */
    fun reset() {
        events?.dropIncompleteEvent()
        buffered = null
        mode = Mode.Undecided
    }

    /** Keeps the failure that has been received as a whole while another target is tried, unless an earlier one is kept. */
    fun keep() {
        if (kept == null) kept = buffered
    }

    /** Decides how to handle the response with [head]. */
    fun start(
        head: ResponseHead,
        response: HttpResponse,
    ) {
        val isSuccess = head.status in SUCCESS_STATUSES
        this.head = head
        this.response = response
        mode =
            when {
                head.isNotExecuted || isUnusable(head) -> Mode.Discard
                hasBegun && (!isSuccess || !canContinue(response)) -> Mode.Discard
                hasBegun -> Mode.Forward
                route.isStream && isSuccess -> Mode.Forward
                else -> Mode.Buffer
            }
        discarded = 0
        if (mode == Mode.Buffer) buffered = BufferedResponse(head, response)
        if (mode == Mode.Forward && !hasBegun) begin()
    }

    /**
     * Returns whether the response can't come from a target: it has a content encoding, or it isn't signed although it is successful or has a
     * status that promises the caller that the call wasn't run.
     */
    private fun isUnusable(head: ResponseHead): Boolean =
        head.hasContentEncoding || (!head.isSigned && (head.status in SUCCESS_STATUSES || head.status in PROMISING_STATUSES))

    /** Returns whether [response] can continue the stream that has been forwarded so far. */
    private fun canContinue(response: HttpResponse): Boolean {
        val type = contentTypeOf(response)
        return type == null || type == contentType || type == EVENT_STREAM
    }

    private fun contentTypeOf(response: HttpResponse): String? = response
        .headers()
        .get(HttpHeaderNames.CONTENT_TYPE)
        ?.substringBefore(';')
        ?.trim()
        ?.lowercase()

    private fun begin() {
        val started = checkNotNull(response)
        hasBegun = true
        kept = null
        contentType = contentTypeOf(started)
        val isSuccess = head?.status in SUCCESS_STATUSES
        if (!isSuccess) events = null
        val isEventStream = contentType == EVENT_STREAM || (contentType == null && head?.endsWithConnection == true)
        if (route.repeatability == Repeatability.OnceStream && isSuccess && isEventStream) boundary = EventBoundary()
        onBegin()
        // The length of one target's stream is not valid when another target may continue it.
        val length = if (events == null) contentLengthOrNull(started) else null
        caller.begin(started.status().code(), started.status().reasonPhrase(), forwardedResponseHeaders(started), length)
    }

    /** Handles a part of the body; it still belongs to the calling code. */
    fun add(data: ByteBuf): BodyState {
        when (mode) {
            Mode.Buffer -> return bufferBody(data)
            Mode.Forward -> return forward(data)
            Mode.Discard -> return discard(data)
            Mode.Undecided -> Unit
        }
        return BodyState.Continues
    }

    /** Counts the bytes of a discarded response, which may never end. */
    private fun discard(data: ByteBuf): BodyState {
        discarded += data.readableBytes()
        return if (discarded > MAX_DISCARDED_BYTES) BodyState.DiscardedEnough else BodyState.Continues
    }

    private fun bufferBody(data: ByteBuf): BodyState {
        val whole = buffered ?: return BodyState.Continues
        whole.body.writeBytes(data)
        if (!whole.isOversized) return BodyState.Continues
        // A failure that is already complete is better than one that may still break off.
        if (whole.isFailure && kept != null) return BodyState.DiscardedEnough
        mode = Mode.Forward
        begin()
        boundary?.add(whole.body)
        caller.writeBody(whole.body)
        buffered = null
        return BodyState.Continues
    }

    private fun forward(data: ByteBuf): BodyState {
        val splitter = events
        if (splitter == null) {
            boundary?.add(data)
            caller.writeBody(data)
            return BodyState.Continues
        }
        val whole = splitter.add(ByteBufUtil.getBytes(data))
        if (whole.isNotEmpty()) caller.writeBody(Unpooled.wrappedBuffer(whole))
        return if (splitter.isOversized) BodyState.EventTooLarge else BodyState.Continues
    }

    /** Sends what has been written to the caller's connection. */
    fun flush() {
        if (mode == Mode.Forward) caller.flush()
    }

    /** Ends a response that was forwarded. */
    fun endForwarding() = caller.end()

    /** Sends the response that was buffered, or the failure that is kept if this is another one, and returns the status that was sent. */
    fun sendBuffered(): Int {
        val whole = checkNotNull(buffered)
        return send(kept?.takeIf { whole.isFailure } ?: whole)
    }

    /** Sends the failure that is kept, and returns its status. */
    fun sendKept(): Int = send(checkNotNull(kept))

    private fun send(whole: BufferedResponse): Int {
        whole.sendTo(caller, call.method)
        return whole.head.status
    }
}
