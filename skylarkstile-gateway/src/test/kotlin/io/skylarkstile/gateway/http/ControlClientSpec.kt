/*
 * Guards against half responses of the store or a target that are taken for whole ones. All tests use real sockets.
 */
package io.skylarkstile.gateway.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import io.skylarkstile.gateway.main.loopScheduler
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Size in bytes of a request body that doesn't fit into the buffers of a connection. */
private const val LONG_BODY = 4_000_000
private const val RECEIVE_BUFFER_BYTES = 16 * 1024

/** Time in milliseconds in which what was sent before reaches the client. */
private const val ARRIVAL_MS = 150L

/** Sends a long request to a server that reads its beginning and passes the connection to [respond]; returns the outcome. */
private fun outcomeOf(respond: (Socket) -> Unit): ControlResult {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val loop = group.next() as EventLoop
    val loopback = InetAddress.getByName("127.0.0.1")
    val server = ServerSocket()
    server.receiveBufferSize = RECEIVE_BUFFER_BYTES
    server.bind(InetSocketAddress(loopback, 0))
    thread(isDaemon = true) {
        server.accept().use {
            it.getInputStream().read()
            respond(it)
        }
    }
    val outcome = CompletableFuture<ControlResult>()
    loop.execute {
        val client = ControlClient(loop, loopScheduler(loop), MAX_TARGET_RESPONSE_BYTES)
        val request = ControlRequest(HttpMethod.POST, "/x", "x".repeat(LONG_BODY))
        client.call(InetSocketAddress(loopback, server.localPort), request, 5_000, outcome::complete)
    }
    return outcome.get(10, TimeUnit.SECONDS).also {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

private fun Socket.write(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
    Thread.sleep(ARRIVAL_MS)
}

class ControlClientSpec :
    FunSpec({
        test("a response without a length whose connection is reset while the request is unsent is a failure") {
            outcomeOf { socket ->
                socket.write("HTTP/1.1 200 OK\r\n\r\n{\"items\":[]}")
                socket.setSoLinger(true, 0)
            }.shouldBeInstanceOf<ControlResult.Failed>().wasSent shouldBe true
        }

        test("a response whose head breaks off is a failure") {
            outcomeOf { socket -> socket.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n") }
                .shouldBeInstanceOf<ControlResult.Failed>()
                .wasSent shouldBe true
        }

        test("a response without a length that ends with its connection after the whole request is complete") {
            outcomeOf { socket ->
                val input = socket.getInputStream()
                var read = 0
                while (read < LONG_BODY) read += input.read(ByteArray(65_536))
                socket.write("HTTP/1.1 200 OK\r\n\r\n{\"items\":[]}")
                while (input.available() > 0) input.read(ByteArray(65_536))
            }.shouldBeInstanceOf<ControlResult.Answer>().body shouldBe "{\"items\":[]}"
        }
    })
