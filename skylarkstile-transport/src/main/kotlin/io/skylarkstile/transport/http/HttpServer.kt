/*
 * Interface and limits of the HTTP/1.1 server that every process uses.
 */
package io.skylarkstile.transport.http

/** Limits of a server; see the `[http]` settings for units and defaults. */
data class HttpServerLimits(
    /** At this number, each new connection replaces the one that has waited longest for its caller. */
    val maxConnections: Int = 1_000,
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 1_048_576,
    val readTimeoutMs: Long = 10_000,
    val idleTimeoutMs: Long = 60_000,
    /** Longest wait for a caller to read a complete response, or one part of a stream. */
    val writeTimeoutMs: Long = 30_000,
    /**
     * Bytes of requests and complete responses buffered at the same time over all connections. Above three quarters, the connection that
     * has been stalled for longest is closed; at the limit, requests are rejected with 503.
     */
    val maxBufferedBytes: Long = 32L * 1_048_576,
)

/** Serves HTTP requests on one address. */
interface HttpServer : AutoCloseable {
    /** Returns the bound address, `ip:port`, with the actual port when port 0 was requested. */
    val address: String

    /** Returns the number of requests in progress. */
    fun running(): Int

    /** Sends `Connection: close` with each response from now on, so that callers move away; new connections are still accepted. */
    fun beginClosing()

    /** Stops accepting connections, closes idle ones, waits up to [timeoutMs] ms for running requests and returns whether all ended. */
    suspend fun drain(timeoutMs: Long): Boolean
}
