/*
 * Holds a response of a target until it is known whether the caller gets it: the call may be sent again as long as nothing has gone out.
 */
package io.skylarkstile.gateway.relay

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.gateway.http.forwardedHeaders
import io.skylarkstile.gateway.model.ResponseHead

/** Size in bytes up to which a response is buffered before it is forwarded, so that the call can be retried if the connection breaks. */
private const val MAX_BUFFERED_BYTES = 65_536

private const val FIRST_FAILURE_STATUS = 400

/** Collects the body of [response], which has [head]. Not thread-safe. */
internal class BufferedResponse(
    val head: ResponseHead,
    private val response: HttpResponse,
) {
    val body: ByteBuf = Unpooled.buffer()
    val isFailure: Boolean get() = head.status >= FIRST_FAILURE_STATUS

    /** True when the body is too large to be buffered as a whole. */
    val isOversized: Boolean get() = body.readableBytes() > MAX_BUFFERED_BYTES

    /** Sends the response to [caller], whose request had [method]; the body must be complete. */
    fun sendTo(
        caller: CallerResponse,
        method: HttpMethod,
    ) {
        val length = if (method == HttpMethod.HEAD) contentLengthOrNull(response) else body.readableBytes().toLong()
        caller.begin(response.status().code(), response.status().reasonPhrase(), forwardedResponseHeaders(response), length)
        if (body.isReadable) caller.writeBody(body)
        caller.end()
    }
}

internal fun contentLengthOrNull(response: HttpResponse): Long? = response.headers().get(HttpHeaderNames.CONTENT_LENGTH)?.toLongOrNull()

internal fun forwardedResponseHeaders(response: HttpResponse): HttpHeaders = forwardedHeaders(response.headers(), setOf("content-length"))
