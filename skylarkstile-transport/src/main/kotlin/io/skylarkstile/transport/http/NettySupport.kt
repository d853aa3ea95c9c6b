/*
 * Shared code of the HTTP server and client: event loops, a suspending wait for Netty futures, and address parsing.
 */
package io.skylarkstile.transport.http

import io.netty.channel.ChannelFuture
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.util.concurrent.DefaultThreadFactory
import kotlinx.coroutines.suspendCancellableCoroutine
import java.net.InetSocketAddress
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/** Event loop threads of a process. They only do network I/O, since handlers run on coroutine threads. */
private const val EVENT_LOOP_THREADS = 4

internal val eventLoops: EventLoopGroup by lazy {
    MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, DefaultThreadFactory("http-loop", true), NioIoHandler.newFactory())
}

/** Suspends until the operation has ended and throws its cause if it failed. `ChannelFuture.await` would block the thread instead. */
internal suspend fun ChannelFuture.awaitDone() {
    if (isDone) {
        if (!isSuccess) throw cause()
        return
    }
    suspendCancellableCoroutine { c ->
        addListener { f -> if (f.isSuccess) c.resume(Unit) else c.resumeWithException(f.cause()) }
    }
}

/**
 * Parses `ip:port` into a socket address.
 *
 * @throws IllegalArgumentException when [address] has another form
 */
fun socketAddress(address: String): InetSocketAddress {
    val port = address.substringAfterLast(':').toIntOrNull()
    val host = address.substringBeforeLast(':', "").removePrefix("[").removeSuffix("]")
    require(host.isNotEmpty() && port != null && port in 0..MAX_PORT) { "'$address' is not an address of the form ip:port" }
    return InetSocketAddress(host, port)
}

/** Returns the address in the form `ip:port`. */
internal fun InetSocketAddress.text(): String = "${address.hostAddress}:$port"

private const val MAX_PORT = 65_535
