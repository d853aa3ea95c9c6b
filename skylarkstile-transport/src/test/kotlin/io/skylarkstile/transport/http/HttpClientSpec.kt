/*
 * Guards against half responses that the HTTP client takes for whole ones. All tests use real sockets.
 */
package io.skylarkstile.transport.http

import com.github.michaelbull.result.getOrThrow
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.flow.toList
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Size in bytes of a request body that doesn't fit into the buffers of a connection. */
private const val LONG_BODY = 4_000_000
private const val RECEIVE_BUFFER_BYTES = 16 * 1024

/** Time in milliseconds in which what was sent before reaches the client. */
private const val ARRIVAL_MS = 150L

private fun Socket.write(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
    Thread.sleep(ARRIVAL_MS)
}

private fun Socket.skip(bytes: Int) {
    var read = 0
    while (read < bytes) read += getInputStream().read(ByteArray(65_536))
}

/** Sends [size] bytes to a server that reads the first byte and passes the connection to [respond]; returns the body of its response. */
private suspend fun bodyOf(
    size: Int,
    respond: (Socket) -> Unit,
): String {
    val server = ServerSocket()
    server.receiveBufferSize = RECEIVE_BUFFER_BYTES
    server.bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
    thread(isDaemon = true) {
        server.accept().use {
            it.getInputStream().read()
            respond(it)
        }
    }
    return httpClient(connectTimeoutMs = 500).use { client ->
        val request = HttpRequest("POST", "/x", body = ByteArray(size) { 'x'.code.toByte() })
        val answer = client.call("127.0.0.1:${server.localPort}", request, 5_000).getOrThrow { IllegalStateException("$it") }
        answer.body.toList().joinToString("") { String(it) }
    }
}

class HttpClientSpec :
    FunSpec({
        test("a response without a length whose connection is reset doesn't look complete") {
            shouldThrow<HttpBodyException> {
                bodyOf(10) { socket ->
                    Thread.sleep(ARRIVAL_MS)
                    socket.skip(10)
                    socket.write("HTTP/1.1 200 OK\r\n\r\nhalf")
                    socket.setSoLinger(true, 0)
                }
            }
        }

        test("a response without a length whose connection is reset while the request is unsent doesn't look complete") {
            shouldThrow<HttpBodyException> {
                bodyOf(LONG_BODY) { socket ->
                    socket.write("HTTP/1.1 200 OK\r\n\r\nhalf")
                    socket.setSoLinger(true, 0)
                }
            }
        }

        test("a response whose head breaks off isn't a response") {
            val failed =
                shouldThrow<IllegalStateException> {
                    bodyOf(10) { socket ->
                        Thread.sleep(ARRIVAL_MS)
                        socket.skip(10)
                        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")
                    }
                }
            failed.message.orEmpty() shouldContain "NoAnswer"
        }

        test("a response without a length that ends with its connection after the whole request is complete") {
            bodyOf(LONG_BODY) { socket ->
                socket.skip(LONG_BODY)
                socket.write("HTTP/1.1 200 OK\r\n\r\nwhole")
                while (socket.getInputStream().available() > 0) socket.getInputStream().read(ByteArray(65_536))
            } shouldBe "whole"
        }
    })
