/*
 * Guards against servers that respond twice to a request of the control client: what is left of an earlier response never becomes the response
 * to a later request, nor a part of one. All tests use real sockets.
 */
package io.skylarkstile.gateway.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import io.skylarkstile.gateway.main.loopScheduler
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Time in milliseconds in which what a server sends after its response reaches the client. */
private const val LATE_MS = 20L
private const val TIMEOUT_MS = 5_000L

/** Timeout of a request whose response may be incomplete, in milliseconds. */
private const val SHORT_TIMEOUT_MS = 100L
private const val FIRST = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 9\r\n\r\n{\"of\": 1}"
private const val FIRST_CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"of\": 1}\r\n0\r\n\r\n"
private const val NEXT = "HTTP/1.1 409 Conflict\r\nContent-Length: 9\r\n\r\n{\"of\": 2}"
private const val NEXT_EMPTY = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
private val nextAnswers = listOf(ControlResult.Answer(409, "{\"of\": 2}"), ControlResult.Answer(409, ""))

/** Reads requests without a body on each connection, and passes its number on the connection to [respond]. */
private class ScriptedServer(
    private val respond: Socket.(Int) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"))
    val connections = CopyOnWriteArrayList<Socket>()
    val address = InetSocketAddress(server.inetAddress, server.localPort)

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

/** Makes calls with one client, one after the other. */
private class Caller : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val client = ControlClient(loop, loopScheduler(loop), MAX_TARGET_RESPONSE_BYTES)

    fun call(
        address: InetSocketAddress,
        timeoutMs: Long = TIMEOUT_MS,
    ): ControlResult {
        val outcome = CompletableFuture<ControlResult>()
        loop.execute { client.call(address, ControlRequest(HttpMethod.GET, "/x"), timeoutMs, outcome::complete) }
        return outcome.get(10, TimeUnit.SECONDS)
    }

    override fun close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

private fun withServer(
    respond: Socket.(Int) -> Unit,
    test: (ScriptedServer, Caller) -> Unit,
) = ScriptedServer(respond).use { server -> Caller().use { test(server, it) } }

class ControlClientReuseSpec :
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
                    withServer(respond) { server, caller ->
                        caller.call(server.address)
                        copySent.await(10, TimeUnit.SECONDS)
                        Thread.sleep(LATE_MS)
                        withClue("a copy of $cut bytes") { caller.call(server.address) shouldBe nextAnswers.first() }
                    }
                }
            }

            listOf(NEXT, NEXT_EMPTY).forEach { next ->
                test("a copy of $kind that ends anywhere isn't joined with a next response of ${next.length} bytes") {
                    (1..first.length).forEach { cut ->
                        withServer({ number -> write(if (number == 1) first else first.take(cut) + next) }) { server, caller ->
                            caller.call(server.address)
                            val result = caller.call(server.address, SHORT_TIMEOUT_MS)
                            withClue("a copy of $cut bytes: $result") {
                                if (result is ControlResult.Answer) result shouldBeIn nextAnswers
                            }
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
            withServer(respond) { server, caller ->
                repeat(2) { caller.call(server.address) }
                ownSent.await(10, TimeUnit.SECONDS)
                Thread.sleep(LATE_MS)
                repeat(5) { caller.call(server.address) shouldBe ControlResult.Answer(200, "{\"of\": 1}") }
                server.connections shouldHaveSize 6
            }
        }

        test("a connection on which nothing else arrives is used again") {
            withServer({ write(FIRST) }) { server, caller ->
                repeat(5) { caller.call(server.address) shouldBe ControlResult.Answer(200, "{\"of\": 1}") }
                server.connections shouldHaveSize 1
            }
        }

        test("an interim response isn't the response") {
            withServer({ write("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n$FIRST") }) { server, caller ->
                repeat(2) { caller.call(server.address) shouldBe ControlResult.Answer(200, "{\"of\": 1}") }
            }
        }

        mapOf(
            "a second status line in its reason phrase" to "HTTP/1.1 200 OHTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}",
            "a second status line in a header" to "HTTP/1.1 200 OK\r\nX-A: HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}",
            "a length beside chunks" to
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            "two lengths" to "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\n{}",
            "the same length twice" to "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
        ).forEach { (fault, text) ->
            test("a head with $fault isn't a response") {
                withServer({ write(text) }) { server, caller ->
                    (caller.call(server.address) as ControlResult.Failed).wasSent shouldBe true
                }
            }
        }
    })
