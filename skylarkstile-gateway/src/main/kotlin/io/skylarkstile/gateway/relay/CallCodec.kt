/*
 * How calls and answers are spelled on the wire. The relay works on neutral terms; an interface towards callers brings its own codec.
 */
package io.skylarkstile.gateway.relay

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.gateway.model.AnswerHead
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Dispatch

/** Translates between wire and neutral terms. */
interface CallCodec {
    /** Reads the head of a caller's request, or returns null when it isn't a proper one. */
    fun readCallOrNull(request: HttpRequest): CallHead?

    /** Returns the headers of [call] for the target named in [dispatch], without framing. */
    fun targetHeaders(
        call: CallHead,
        dispatch: Dispatch,
    ): HttpHeaders

    /** Reads the head of a target's answer. */
    fun readAnswer(response: HttpResponse): AnswerHead

    /** Adds the headers of an answer of this system's own to call [callId]. */
    fun ownAnswer(
        headers: HttpHeaders,
        callId: String?,
        retryAfterMs: Long?,
    )
}
