/*
 * The HTTP/1.1 client used towards targets, the object API and in tools.
 */
package io.skylarkstile.transport.http

import com.github.michaelbull.result.Result

/** Calls HTTP/1.1 servers. Connections are pooled by address; an idle connection that the server has closed is never used. */
interface HttpClient : AutoCloseable {
    /**
     * Sends [request] to [address] (`ip:port`) and returns when the head of the answer has arrived.
     *
     * [idleTimeoutMs] bounds the wait for the head and each silence within the body, in milliseconds.
     * [beforeSend] is asked on the sending thread directly before the first byte is written; `false` ends the call as [HttpFailure.NotSent].
     * The call is never repeated by the client, with one exception: [idempotent] calls are repeated once when a pooled connection
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
