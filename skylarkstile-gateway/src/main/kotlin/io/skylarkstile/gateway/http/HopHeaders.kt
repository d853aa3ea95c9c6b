/*
 * Headers that concern one connection only and are never passed on.
 */
package io.skylarkstile.gateway.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

private val hopHeaders =
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

/** Copies [headers] without those that concern one connection, those that `Connection` names, and those in [dropped] (lower case). */
fun passedOn(
    headers: HttpHeaders,
    dropped: Set<String> = emptySet(),
): HttpHeaders {
    val named = headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
    val copy = DefaultHttpHeaders()
    headers.forEach { (name, value) ->
        val lower = name.lowercase()
        if (lower !in hopHeaders && lower !in dropped && lower !in named) copy.add(name, value)
    }
    return copy
}
