/*
 * Guards against control calls whose result is made of two responses, or is that of another call, because the server has responded twice. All
 * tests use real sockets.
 */
package io.skylarkstile.gateway.http

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
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

private const val CONFLICT = 409
private const val TIMEOUT_MS = 1_000L

/** Time in milliseconds in which what was sent before reaches the client. */
private const val SECOND_RESPONSE_ARRIVAL_MS = 100L

private const val ACCEPTED_RESPONSE = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"
private const val CONFLICT_RESPONSE = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}"

/** Reads a request without a body. */
private fun readRequest(socket: Socket): Boolean {
    val end = "\r\n\r\n"
    val read = StringBuilder()
    while (!read.endsWith(end)) {
        val byte = socket.getInputStream().read()
        if (byte < 0) return false
        read.append(byte.toChar())
    }
    return true
}

private fun Socket.send(text: String) {
    getOutputStream().write(text.toByteArray())
    getOutputStream().flush()
}

/**
 * Makes two calls in a row to a server that accepts the first one on each connection, then sends [second] to the idle connection, and reports
 * a conflict to every further call on it; returns the outcomes.
 */
private fun outcomesWithSecondResponse(second: String): List<ControlResult> {
    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val loop = group.next() as EventLoop
    val loopback = InetAddress.getByName("127.0.0.1")
    val server = ServerSocket(0, 8, loopback)
    var calls = 0
    thread(isDaemon = true) {
        repeat(2) {
            server.accept().use { socket ->
                while (readRequest(socket)) {
                    calls++
                    socket.send(if (calls == 1) ACCEPTED_RESPONSE else CONFLICT_RESPONSE)
                    if (calls == 1) {
                        Thread.sleep(SECOND_RESPONSE_ARRIVAL_MS / 2)
                        socket.send(second)
                    }
                }
            }
        }
    }
    val client = ControlClient(loop, loopScheduler(loop), MAX_TARGET_RESPONSE_BYTES)
    return List(2) {
        val outcome = CompletableFuture<ControlResult>()
        val request = ControlRequest(HttpMethod.GET, "/x")
        loop.execute { client.call(InetSocketAddress(loopback, server.localPort), request, TIMEOUT_MS, outcome::complete) }
        outcome.get(10, TimeUnit.SECONDS).also { Thread.sleep(SECOND_RESPONSE_ARRIVAL_MS) }
    }.also {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}

class ControlConnectionReuseSpec :
    FunSpec({
        // A target or store that responded twice made a rejected order or write look accepted.
        listOf("HTTP/1.1 202 ", "HTTP/1.1 202 Acc", "HTTP/1.1 202 Accepted\r\nX-Cut: ").forEach { start ->
            test("the start of a second response, '${start.trim()}', while the connection is idle isn't joined with the next response") {
                val outcome = outcomesWithSecondResponse(start).last()
                withClue(
                    outcome,
                ) { (outcome is ControlResult.Failed || (outcome as ControlResult.Answer).status == CONFLICT) shouldBe true }
            }
        }
    })
