/*
 * Tests the HTTP server with this module's client and with raw sockets that send malformed or malicious input.
 */
package io.skylarkstile.transport.http

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong

private val SMALL =
    HttpServerLimits(maxConnections = 20, maxHeaderBytes = 2_048, maxBodyBytes = 4_096, readTimeoutMs = 300, idleTimeoutMs = 2_000)

class HttpServerSpec :
    FunSpec({
        val client = httpClient(connectTimeoutMs = 500)
        val ended = CompletableDeferred<Unit>()
        val server =
            httpServer("127.0.0.1:0", SMALL) { request ->
                when (request.path) {
                    "/echo" -> wholeAnswer(200, "text/plain", request.body)
                    "/slow" -> wholeAnswer(200, "text/plain", "late".toByteArray()).also { delay(400) }
                    "/stream" ->
                        HttpAnswer(
                            200,
                            headersOf("content-type" to "text/event-stream"),
                            flow { repeat(5) { emit("part$it;".toByteArray()) } },
                        )
                    "/broken" ->
                        HttpAnswer(
                            200,
                            HttpHeaders(),
                            flow {
                                emit("half".toByteArray())
                                error("stops here")
                            },
                        )
                    "/forever" ->
                        HttpAnswer(
                            200,
                            HttpHeaders(),
                            flow {
                                try {
                                    emit("x".toByteArray())
                                    awaitCancellation()
                                } finally {
                                    ended.complete(Unit)
                                }
                            },
                        )
                    else -> wholeAnswer(404, "text/plain", ByteArray(0))
                }
            }
        afterSpec {
            client.close()
            server.close()
        }

        suspend fun call(
            method: String,
            path: String,
            body: String = "",
        ) = client.call(server.address, HttpRequest(method, path, body = body.toByteArray()), 2_000, idempotent = true)

        fun raw(
            text: String,
            waitMs: Int = 1_500,
        ): String = Socket("127.0.0.1", server.address.substringAfter(':').toInt()).use { s ->
            s.soTimeout = waitMs
            s.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            s.getOutputStream().flush()
            runCatching { s.getInputStream().readAllBytes().decodeToString() }.getOrElse { "no end: ${it.message}" }
        }

        test("echoes bodies over reused connections") {
            repeat(50) { i -> call("POST", "/echo", "body $i").get()!!.bytes().decodeToString() shouldBe "body $i" }
        }

        test("forwards a streamed response completely") {
            call("GET", "/stream").get()!!.bytes().decodeToString() shouldBe "part0;part1;part2;part3;part4;"
        }

        test("reports a response that ends early as an error instead of a short body") {
            runCatching { call("GET", "/broken").get()!!.bytes() }.exceptionOrNull().shouldBeInstanceOf<HttpBodyException>()
        }

        test("reports a refused connection as not sent and a silent server as no response") {
            val free = httpServer("127.0.0.1:0") { wholeAnswer(200, "text/plain", ByteArray(0)) }.also { it.close() }
            // The kernel accepts connections until the selector has deregistered the closed listener.
            delay(100)
            client.call(free.address, HttpRequest("POST", "/"), 500).getError().shouldBeInstanceOf<HttpFailure.NotSent>()
            client.call(server.address, HttpRequest("POST", "/slow"), 100).getError().shouldBeInstanceOf<HttpFailure.NoAnswer>()
            client
                .call(
                    server.address,
                    HttpRequest("POST", "/echo"),
                    500,
                    beforeSend = { false },
                ).getError()
                .shouldBeInstanceOf<HttpFailure.NotSent>()
        }

        test("cancels the handler when the caller disconnects") {
            val job =
                launch {
                    client
                        .call(server.address, HttpRequest("GET", "/forever"), 5_000)
                        .get()!!
                        .body
                        .take(1)
                        .toList()
                }
            withTimeout(3_000) { ended.await() }
            job.cancel()
        }

        test("rejects a request with both a length and chunks, since another server could parse a second request in it") {
            raw(
                "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            ) shouldStartWith
                "HTTP/1.1 400"
        }

        test("rejects two different lengths") {
            raw("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!") shouldStartWith "HTTP/1.1 400"
        }

        test("rejects a head and a body over their limits") {
            raw("GET /echo HTTP/1.1\r\nX-Long: ${"a".repeat(4_000)}\r\n\r\n") shouldStartWith "HTTP/1.1 431"
            raw("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n") shouldStartWith "HTTP/1.1 413"
            raw(
                "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1400\r\n${"b".repeat(0x1400)}\r\n0\r\n\r\n",
            ) shouldStartWith
                "HTTP/1.1 413"
        }

        test("closes a connection whose request arrives too slowly") {
            raw("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Le") shouldBe ""
        }

        test("serves other callers after a flood of connections") {
            val flood = List(40) { Socket("127.0.0.1", server.address.substringAfter(':').toInt()) }
            flood.forEach { it.close() }
            withTimeout(3_000) {
                while (call("POST", "/echo", "after").get()?.bytes()?.decodeToString() != "after") delay(20)
            }
        }

        test("pauses a stream that its caller does not read, and ends it after the write timeout") {
            val emitted = AtomicLong()
            val over = CompletableDeferred<Unit>()
            val body =
                flow {
                    try {
                        repeat(2_000) { emit(ByteArray(65_536)).also { emitted.addAndGet(65_536) } }
                    } finally {
                        over.complete(Unit)
                    }
                }
            val other = httpServer("127.0.0.1:0", SMALL.copy(writeTimeoutMs = 500)) { HttpAnswer(200, HttpHeaders(), body) }
            Socket().use { s ->
                s.receiveBufferSize = 4_096
                s.connect(socketAddress(other.address))
                s.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray())
                withTimeout(5_000) { over.await() }
            }
            other.close()
            // An upper bound of what the kernel buffers on loopback, far below the 128 MB of the stream.
            emitted.get() shouldBeLessThan 16L * 1_048_576
        }

        test("closes a stalled request for other callers when the memory for requests is nearly used up") {
            val small = SMALL.copy(maxBufferedBytes = 10_000, readTimeoutMs = 5_000)
            val other = httpServer("127.0.0.1:0", small) { wholeAnswer(200, "text/plain", it.body) }
            val stalled = List(3) { Socket("127.0.0.1", other.address.substringAfter(':').toInt()) }
            for (s in stalled) {
                s.getOutputStream().write("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n${"a".repeat(2_700)}".toByteArray())
                delay(150)
            }
            val answer = client.call(other.address, HttpRequest("POST", "/", body = ByteArray(1_000)), 2_000).get()!!
            answer.bytes().size shouldBe 1_000
            stalled
                .first()
                .apply { soTimeout = 1_000 }
                .getInputStream()
                .bufferedReader()
                .readLine() shouldStartWith "HTTP/1.1 503"
            stalled.forEach { it.close() }
            other.close()
        }

        test("closes the connection that has been idle for longest when a flood uses up all connections") {
            val flood = List(30) { Socket("127.0.0.1", server.address.substringAfter(':').toInt()) }
            call("POST", "/echo", "during").get()!!.bytes().decodeToString() shouldBe "during"
            flood.forEach { it.close() }
        }

        test("rejects a malformed request only after the responses to earlier requests, which a caller could otherwise mix up") {
            val answers = raw("POST /slow HTTP/1.1\r\n\r\nGET /stream HTTP/1.1\r\n\r\nBROKEN\r\n\r\n")
            Regex("HTTP/1.1 (\\d+)").findAll(answers).map { it.groupValues[1] }.toList() shouldBe listOf("200", "200", "400")
        }

        test("pipelined requests get their own responses in their order") {
            val bodies = List(12) { "body-$it" }
            val requests = bodies.joinToString("") { "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: ${it.length}\r\n\r\n$it" }
            val answers = raw(requests + "GET /none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            Regex("body-\\d+").findAll(answers).map { it.value }.toList() shouldBe bodies
            Regex("HTTP/1.1 (\\d+)").findAll(answers).map { it.groupValues[1] }.toList() shouldBe List(12) { "200" } + "404"
        }

        test("nothing follows a response that ends early") {
            val answers = raw("GET /broken HTTP/1.1\r\nHost: x\r\n\r\nPOST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nother")
            answers.substringAfter("\r\n\r\n") shouldBe "4\r\nhalf\r\n"
        }

        test("the response to a HEAD request without a length has no body") {
            val answers = raw("HEAD /stream HTTP/1.1\r\nHost: x\r\n\r\nGET /none HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answers.substringAfter("\r\n\r\n") shouldStartWith "HTTP/1.1 404"
        }

        // The request line of the first and headers and body of the second request could become one call.
        test("a request that is cut off inside its head and followed by another one isn't joined with it") {
            val cutOff = "POST /stream HTTP/1.1\r\nX-First: one\r\nHost: x\r\nX-Last: two\r\n"
            val next = "POST /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 4\r\n\r\nnext"
            ("POST".length + 1..cutOff.length).forEach { cut ->
                withClue("cut off after '${cutOff.take(cut).substringAfterLast('\n')}' ($cut bytes)") {
                    raw(cutOff.take(cut) + next) shouldStartWith "HTTP/1.1 400"
                }
            }
        }

        test("drains without interrupting a running response") {
            val other = httpServer("127.0.0.1:0") { wholeAnswer(200, "text/plain", "done".toByteArray()).also { delay(300) } }
            val result = CompletableDeferred<String>()
            launch {
                result.complete(
                    client
                        .call(other.address, HttpRequest("GET", "/"), 2_000)
                        .get()!!
                        .bytes()
                        .decodeToString(),
                )
            }
            while (other.running() == 0) delay(5)
            other.drain(2_000) shouldBe true
            result.await() shouldBe "done"
            other.close()
        }
    })
