/*
 * HTTP/1.1 client for targets, the object API and the tools.
 */
package io.skylarkstile.transport.http

import com.github.michaelbull.result.Result

/** Calls HTTP/1.1 servers. Connections are pooled by address; an idle connection known to be closed is not used. */
interface HttpClient : AutoCloseable {
    /**
     * Sends [request] to [address] (`ip:port`) and returns when the head of the response has arrived.
     *
     * [idleTimeoutMs] limits the wait for the head and for each part of the body, in milliseconds.
     * [beforeSend] runs on the sending thread directly before the first byte is written; `false` ends the call as [HttpFailure.NotSent].
     * The client does not retry calls, with one exception: an [idempotent] call is retried once when its pooled connection
     * turns out to be closed.
     */
    suspend fun call(
        address: String,
        request: HttpRequest,
        idleTimeoutMs: Long,
        idempotent: Boolean = false,
        beforeSend: () -> Boolean = { true },
    ): Result<HttpAnswer, HttpFailure>
}
