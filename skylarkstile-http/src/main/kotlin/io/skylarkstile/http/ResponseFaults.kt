/*
 * Recognizes responses that were made up of parts of two: the start of a response that was cut off is followed by the whole head of the next
 * one, so that its status line stands inside a line.
 */
package io.skylarkstile.http

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

internal const val STATUS_LINE_START = "HTTP/1."
private const val STATUS_DIGITS = 3

/** Returns why [response] can't be the head of one response, or null if it can. */
fun headFaultOrNull(response: HttpResponse): String? = when {
    response.decoderResult().isFailure -> "malformed head"
    containsStatusLine(response.status().reasonPhrase()) || containsStatusLine(response.headers()) -> "two status lines in a head"
    else -> null
}

private fun containsStatusLine(headers: HttpHeaders): Boolean {
    val fields = headers.iteratorCharSequence()
    while (fields.hasNext()) {
        val (name, value) = fields.next()
        if (containsStatusLine(value) || containsStatusLine(name)) return true
    }
    return false
}

private fun containsStatusLine(text: CharSequence): Boolean {
    val start = text.indexOf(STATUS_LINE_START)
    if (start < 0) return false
    val status = text.subSequence(start, text.length).drop(STATUS_LINE_START.length + 1)
    return status.startsWith(" ") && status.drop(1).takeWhile { it.isDigit() }.length >= STATUS_DIGITS
}
