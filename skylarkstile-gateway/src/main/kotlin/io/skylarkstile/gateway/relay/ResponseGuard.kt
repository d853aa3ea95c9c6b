/*
 * Keeps the response to one call apart from what precedes and follows it on the caller's connection: a finished response passes nothing on, and
 * a body that doesn't have the announced length breaks the connection off, since the caller would read the next response in its place.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.model.CallHead

private val log = KotlinLogging.logger {}

/** Statuses whose responses have no body, whatever length they announce. */
private val bodylessStatuses = setOf(204, 304)

/** Passes the response to [call] on to [response]. Runs on the event loop. */
internal class ResponseGuard(
    private val call: CallHead,
    private val response: CallerResponse,
) : CallerResponse {
    private sealed interface State {
        data object NotBegun : State

        /** The head is written; [remaining] is the number of bytes of the body that must follow, or null if it isn't known. */
        class Begun(
            var remaining: Long?,
        ) : State

        /** Nothing more is passed on. No other state follows. */
        data object Finished : State
    }

    private var state: State = State.NotBegun
    private var isViolationLogged = false
    override val isWritable: Boolean get() = response.isWritable

    override fun refuse(
        status: Int,
        reason: String,
        retryAfterMs: Long?,
    ) {
        if (state is State.Begun) return breakOff("refusal within a response")
        if (state == State.Finished) return logViolation("refusal after a response")
        state = State.Finished
        response.refuse(status, reason, retryAfterMs)
    }

    override fun begin(
        status: Int,
        reasonPhrase: String,
        headers: HttpHeaders,
        contentLength: Long?,
    ) {
        if (state is State.Begun) return breakOff("second head within a response")
        if (state == State.Finished) return logViolation("head after a response")
        val hasNoBody = call.method == HttpMethod.HEAD || status in bodylessStatuses
        state = State.Begun(if (hasNoBody) 0 else contentLength)
        response.begin(status, reasonPhrase, headers, contentLength)
    }

    override fun writeBody(data: ByteBuf) {
        val begun = state as? State.Begun ?: return logViolation("body outside of a response")
        val remaining = begun.remaining
        if (remaining != null && data.readableBytes() > remaining) return breakOff("body longer than announced")
        if (remaining != null) begun.remaining = remaining - data.readableBytes()
        response.writeBody(data)
    }

    override fun flush() {
        if (state is State.Begun) response.flush()
    }

    override fun end() {
        val begun = state as? State.Begun ?: return logViolation("end outside of a response")
        if ((begun.remaining ?: 0) > 0) return breakOff("body shorter than announced")
        state = State.Finished
        response.end()
    }

    override fun abort() {
        if (state == State.Finished) return
        state = State.Finished
        response.abort()
    }

    private fun breakOff(violation: String) {
        logViolation(violation)
        abort()
    }

    private fun logViolation(violation: String) {
        if (isViolationLogged) return
        isViolationLogged = true
        log.event(Level.WARN, "response-violation", "call" to call.id, "violation" to violation) { "part of a response was not passed on" }
    }
}
