/*
 * The HTTP/1.1 server of every process.
 */
package io.skylarkstile.transport.http

/** Bounds of a server; see the `[http]` settings for units and defaults. */
data class HttpServerLimits(
    /** At this number the connection that has waited longest for its caller is closed for each new one. */
    val maxConnections: Int = 1_000,
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 1_048_576,
    val readTimeoutMs: Long = 10_000,
    val idleTimeoutMs: Long = 60_000,
    /** Longest wait for a caller to take a whole answer, or one part of a stream. */
    val writeTimeoutMs: Long = 30_000,
    /**
     * Bytes of requests and whole answers held at the same time over all connections. From three quarters on, the connection that has been
     * stalled for longest makes room; at the bound, requests are refused with 503.
     */
    val maxBufferedBytes: Long = 32L * 1_048_576,
)

/** Serves one address. */
interface HttpServer : AutoCloseable {
    /** Address that is listened on, `ip:port`, with the true port when 0 was asked for. */
    val address: String

    /** Number of requests being answered. */
    fun running(): Int

    /** Answers from now on with `Connection: close`, so that callers move away, while still accepting connections. */
    fun beginClosing()

    /** Stops accepting connections, closes idle ones and waits up to [timeoutMs] milliseconds for running requests. Returns whether all ended. */
    suspend fun drain(timeoutMs: Long): Boolean
}
