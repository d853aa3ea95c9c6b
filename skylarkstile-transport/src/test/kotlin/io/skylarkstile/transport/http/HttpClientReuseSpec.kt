/*
 * Guards against servers that respond twice to a request of the HTTP client: what is left of an earlier response never becomes the response to
 * a later request, nor a part of one. All tests use real sockets.
 */
package io.skylarkstile.transport.http

import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Time in milliseconds in which what a server sends after its response reaches the client. */
private const val LATE_MS = 20L
private const val TIMEOUT_MS = 5_000L
private const val FIRST = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nfirst"
private const val FIRST_CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"
private const val NEXT = "HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nnext"
private const val NEXT_EMPTY = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
private val firstResponse = 200 to "first"

/** Reads requests without a body, and passes the connection and the number of the request on it to [respond]. */
private class ScriptedServer(
    private val respond: Socket.(Int) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"))
    val connections = CopyOnWriteArrayList<Socket>()
    val address = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().also(connections::add).let { thread(isDaemon = true) { serve(it) } }
            } catch (e: IOException) {
                // The test has closed the server.
            }
        }
    }

    private fun serve(socket: Socket) {
        try {
            // What is written last would otherwise wait for the client's delayed acknowledgement.
            socket.tcpNoDelay = true
            val lines = socket.getInputStream().bufferedReader()
            var number = 0
            while (true) {
                val line = lines.readLine() ?: return
                if (line.isEmpty()) socket.respond(++number)
            }
        } catch (e: IOException) {
            // The client has closed the connection.
        }
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }
}

private fun Socket.write(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/** Returns status and body of the response to a call that may be repeated, or null if there is none. */
private suspend fun HttpClient.get(address: String): Pair<Int, String>? = try {
    call(address, HttpRequest("GET", "/x"), TIMEOUT_MS, idempotent = true).map { it.status to String(it.bytes()) }.get()
} catch (e: HttpBodyException) {
    println("no whole response: ${e.message}")
    null
}

private suspend fun withServer(
    respond: Socket.(Int) -> Unit,
    test: suspend (ScriptedServer, HttpClient) -> Unit,
) = ScriptedServer(respond).use { server -> httpClient(connectTimeoutMs = 500).use { test(server, it) } }

class HttpClientReuseSpec :
    FunSpec({
        listOf("a response with a length" to FIRST, "a chunked response" to FIRST_CHUNKED).forEach { (kind, first) ->
            // A part of a response on an idle connection became the start of the next response.
            test("a copy of $kind that ends anywhere and arrives on the idle connection ends it") {
                (1..first.length).forEach { cut ->
                    val requests = AtomicInteger()
                    val copySent = CountDownLatch(1)
                    val respond: Socket.(Int) -> Unit = {
                        if (requests.incrementAndGet() > 1) {
                            write(NEXT)
                        } else {
                            write(first)
                            Thread.sleep(LATE_MS / 2)
                            write(first.take(cut))
                            copySent.countDown()
                        }
                    }
                    withServer(respond) { server, client ->
                        client.get(server.address) shouldBe firstResponse
                        copySent.await(10, TimeUnit.SECONDS)
                        Thread.sleep(LATE_MS)
                        withClue("a copy of $cut bytes") {
                            client.get(server.address) shouldBe (409 to "next")
                            requests.get() shouldBe 2
                        }
                    }
                }
            }

            listOf(NEXT to "next", NEXT_EMPTY to "").forEach { (next, body) ->
                // The copy and the next response arrive together; the call is repeated on a new connection, or fails.
                test("a copy of $kind that ends anywhere isn't joined with a next response with the body '$body'") {
                    (1..first.length).forEach { cut ->
                        val requests = AtomicInteger()
                        val respond: Socket.(Int) -> Unit = { number ->
                            val isFirst = requests.incrementAndGet() == 1
                            write(
                                if (isFirst) {
                                    first
                                } else if (number > 1) {
                                    first.take(cut) + next
                                } else {
                                    next
                                },
                            )
                        }
                        withServer(respond) { server, client ->
                            client.get(server.address) shouldBe firstResponse
                            val result = client.get(server.address)
                            withClue("a copy of $cut bytes") { if (result != null) result shouldBe (409 to body) }
                        }
                    }
                }
            }
        }

        // The server answers the second request with a copy and, later, its own response: a third one would get that.
        test("a server whose extra response was seen gets one request on each connection") {
            val ownSent = CountDownLatch(1)
            val respond: Socket.(Int) -> Unit = { number ->
                write(FIRST)
                if (number > 1) {
                    Thread.sleep(LATE_MS)
                    write(NEXT)
                    ownSent.countDown()
                }
            }
            withServer(respond) { server, client ->
                repeat(2) { client.get(server.address) }
                ownSent.await(10, TimeUnit.SECONDS)
                Thread.sleep(LATE_MS)
                repeat(5) { client.get(server.address) shouldBe firstResponse }
                server.connections shouldHaveSize 6
            }
        }

        test("a connection on which nothing else arrives is used again") {
            withServer({ write(FIRST) }) { server, client ->
                repeat(5) { client.get(server.address) shouldBe firstResponse }
                server.connections shouldHaveSize 1
            }
        }

        mapOf(
            "a second status line in its reason phrase" to "HTTP/1.1 200 OHTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}",
            "a second status line in a header" to "HTTP/1.1 200 OK\r\nX-A: HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}",
            "a length beside chunks" to
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            "the same length twice" to "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
        ).forEach { (fault, text) ->
            test("a head with $fault isn't a response") {
                withServer({ write(text) }) { server, client -> client.get(server.address) shouldBe null }
            }
        }
    })
