/*
 * The response channel of one call towards its caller.
 */
package io.skylarkstile.gateway.relay

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Writes the response to one call; exactly one of [refuse], [end] and [abort] finishes it. */
internal interface CallerResponse {
    val isWritable: Boolean

    /** Sends an error response that the gateway itself produces. */
    fun refuse(
        status: Int,
        reason: String,
        retryAfterMs: Long?,
    )

    /** Starts forwarding the target's response; [contentLength] is null when it is unknown. */
    fun begin(
        status: Int,
        reasonPhrase: String,
        headers: HttpHeaders,
        contentLength: Long?,
    )

    /** Writes a part of the body; the buffer still belongs to the calling code, which releases it. */
    fun writeBody(data: ByteBuf)

    fun flush()

    /** Finishes a complete response. */
    fun end()

    /** Closes the connection, so that the caller doesn't take an incomplete response for a complete one. */
    fun abort()
}
