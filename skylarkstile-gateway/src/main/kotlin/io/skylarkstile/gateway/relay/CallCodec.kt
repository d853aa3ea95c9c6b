/*
 * Translates calls and responses between their HTTP form and the model that the relay works on. Each external interface has its own codec.
 */
package io.skylarkstile.gateway.relay

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Dispatch
import io.skylarkstile.gateway.model.ResponseHead

/** Translates HTTP headers to and from the model. */
interface CallCodec {
    /** Reads the head of a caller's request; returns null when it is invalid. */
    fun readCallOrNull(request: HttpRequest): CallHead?

    /** Returns the headers of [call] for the target named in [dispatch], without content length or transfer encoding. */
    fun targetHeaders(
        call: CallHead,
        dispatch: Dispatch,
    ): HttpHeaders

    /** Reads the head of a target's response. */
    fun readResponse(response: HttpResponse): ResponseHead

    /** Adds the headers of a response that the gateway itself produces for call [callId]. */
    fun addOwnHeaders(
        headers: HttpHeaders,
        callId: String?,
        retryAfterMs: Long?,
    )
}
