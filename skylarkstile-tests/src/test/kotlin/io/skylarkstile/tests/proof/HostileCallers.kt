/*
 * Callers that misbehave on raw sockets: slow readers, oversized, malformed and incomplete requests, and idle connections. Each repeated
 * attack runs in a daemon thread until [close].
 */
package io.skylarkstile.tests.proof

import io.skylarkstile.transport.http.socketAddress
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Attacks the instance at [address]. The workspace of [key] has a service route `cairo-service` with large entries at `/registrations`. */
internal class HostileCallers(
    private val address: String,
    private val key: String,
) : AutoCloseable {
    /** Connections opened so far. */
    val openedCount = AtomicInteger()
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    private var running = true

    private val postHead = "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer $key\r\nContent-Type: application/json\r\n"

    /** Starts all attacks. */
    fun start() {
        repeat(
            30,
        ) { repeatedly(400) { sendWithoutReading("GET /svc/cairo-service/registrations HTTP/1.1\r\nAuthorization: Bearer $key\r\n\r\n") } }
        repeat(10) {
            val body = """{"model":"cairo-stamps","prompt":"p","max_tokens":100000,"stream":true}"""
            repeatedly(2_000) { sendWithoutReading("${postHead}Content-Length: ${body.length}\r\n\r\n$body") }
        }
        repeat(20) { repeatedly(400) { send("${postHead}Content-Length: 250000\r\n\r\n${"a".repeat(200_000)}", holdMs = 4_000) } }
        repeat(10) { repeatedly(100) { send("GET /v1/models HTTP/1.1\r\nX: y\r\n\r\n".repeat(20_000), holdMs = 1_000) } }
        repeatedly(100) { send("GET /v1/models HTTP/1.1\r\nX-Long: ${"h".repeat(100_000)}\r\n\r\n") }
        repeatedly(100) { send("${postHead}Content-Length: 99999999\r\n\r\n${"b".repeat(100_000)}") }
        repeatedly(100) { send("${postHead}Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nzz\r\n\u0000\u0001") }
        repeat(4) { repeatedly(100) { sendLargePrompt("[") } }
        repeat(4) { repeatedly(100) { sendLargePrompt("1,") } }
        repeatedly(20) { open() }
    }

    override fun close() {
        running = false
        sockets.forEach { it.close() }
    }

    private fun sendLargePrompt(element: String) {
        val body = "{\"prompt\":[" + element.repeat(200_000 / element.length)
        send("${postHead}Content-Length: ${body.length}\r\n\r\n$body", holdMs = 50)
    }

    /** Sends [request] and reads nothing of the response, for 10 s or until [close]. */
    private fun sendWithoutReading(request: String) = send(request, holdMs = 10_000)

    private fun send(
        text: String,
        holdMs: Long = 0,
    ) = open().use { socket ->
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        val end = System.nanoTime() + holdMs * 1_000_000
        while (running && System.nanoTime() < end) Thread.sleep(20)
        sockets.remove(socket)
    }

    private fun open(): Socket = Socket().apply {
        receiveBufferSize = 4_096
        connect(socketAddress(address), 1_000)
        sockets.add(this)
        openedCount.incrementAndGet()
    }

    private fun repeatedly(
        pauseMs: Long,
        attack: () -> Unit,
    ) {
        thread(isDaemon = true) {
            while (running) {
                try {
                    attack()
                } catch (_: IOException) {
                    // Expected: the entry instance closed the connection.
                }
                Thread.sleep(pauseMs)
            }
        }
    }
}
