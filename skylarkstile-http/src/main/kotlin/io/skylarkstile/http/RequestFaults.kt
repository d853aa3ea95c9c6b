/*
 * Recognizes requests that were made up of parts of two: a request that was cut off inside a header is followed by the whole next one, so that
 * its request line ends the value of that header.
 */
package io.skylarkstile.http

import io.netty.handler.codec.http.HttpHeaders

private const val PROTOCOL_START = " HTTP/1."

/** Returns whether the value of one of [headers] ends with the request line of another request. */
fun containsRequestLine(headers: HttpHeaders): Boolean {
    val fields = headers.iteratorCharSequence()
    while (fields.hasNext()) {
        if (endsWithRequestLine(fields.next().value)) return true
    }
    return false
}

private fun endsWithRequestLine(value: CharSequence): Boolean {
    val protocol = value.length - PROTOCOL_START.length - 1
    if (protocol <= 0 || !value.startsWith(PROTOCOL_START, protocol)) return false
    return value
        .subSequence(0, protocol)
        .trimEnd()
        .substringAfterLast(' ')
        .startsWith('/')
}

private fun CharSequence.substringAfterLast(delimiter: Char): CharSequence = subSequence(lastIndexOf(delimiter) + 1, length)
