/*
 * The HTTP/1.1 server of every process.
 */
package io.skylarkstile.transport.http

/** Bounds of a server; see the `[http]` settings for units and defaults. */
data class HttpServerLimits(
    val maxConnections: Int = 4_000,
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 1_048_576,
    val readTimeoutMs: Long = 10_000,
    val idleTimeoutMs: Long = 60_000,
    /** Bytes of request bodies held at the same time over all connections; further requests are refused with 503. */
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
