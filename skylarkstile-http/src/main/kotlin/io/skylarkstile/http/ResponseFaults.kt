/*
 * Says why a response can't be used, for logs and errors.
 */
package io.skylarkstile.http

import io.netty.handler.codec.http.HttpResponse

internal const val STATUS_LINE_START = "HTTP/1."

/** Characters of a decoder's message that are passed on: it may contain a part of the head. */
private const val MAX_CAUSE_LENGTH = 120

/** Returns why [response] can't be the head of one response, or null if it can. */
fun headFaultOrNull(response: HttpResponse): String? {
    val cause = response.decoderResult().cause() ?: return null
    return "malformed head: ${cause.message?.take(MAX_CAUSE_LENGTH)}"
}
