/*
 * The caller's side of one call.
 */
package io.skylarkstile.gateway.relay

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders

/** Takes the answer to one call; exactly one of [refuse], [end] and [abort] closes it. */
internal interface Caller {
    val isWritable: Boolean

    /** Answers with a [status] of this system's own. */
    fun refuse(
        status: Int,
        reason: String,
        retryAfterMs: Long?,
    )

    /** Begins the target's answer; [contentLength] is null where it isn't known. */
    fun begin(
        status: Int,
        reasonPhrase: String,
        headers: HttpHeaders,
        contentLength: Long?,
    )

    /** Passes on a part of the body, which stays the property of its owner. */
    fun part(data: ByteBuf)

    fun flush()

    /** Ends a whole answer. */
    fun end()

    /** Closes the connection, so that an answer that isn't whole doesn't look complete. */
    fun abort()
}
