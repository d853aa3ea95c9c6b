/*
 * Hop-by-hop headers, which apply to a single connection and are never forwarded.
 */
package io.skylarkstile.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

private val hopByHopHeaders =
    setOf(
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )

/** Returns a copy of [headers] without hop-by-hop headers, those listed in `Connection`, and those in [dropped] (lower case). */
fun forwardedHeaders(
    headers: HttpHeaders,
    dropped: Set<String> = emptySet(),
): HttpHeaders {
    val connectionOptions = headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
    val copy = DefaultHttpHeaders()
    headers.forEach { (name, value) ->
        val lowerName = name.lowercase()
        if (lowerName !in hopByHopHeaders && lowerName !in dropped && lowerName !in connectionOptions) copy.add(name, value)
    }
    return copy
}
