/*
 * Free loopback ports for processes that must keep their address over a restart.
 */
package io.skylarkstile.tests.harness

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** The range lies below the ports that Linux gives to outgoing connections, so none of those takes a port before its process binds it. */
private const val FIRST_PORT = 15_000
private const val PORT_COUNT = 17_000

private val next = AtomicInteger(Random.nextInt(PORT_COUNT))

/** Returns a loopback address (`ip:port`) that nobody listens on and that was not given out before in this process. */
internal fun freeAddress(): String {
    repeat(PORT_COUNT) {
        val port = FIRST_PORT + next.getAndIncrement().mod(PORT_COUNT)
        if (isFree(port)) return "127.0.0.1:$port"
    }
    error("no free loopback port")
}

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
    true
} catch (_: IOException) {
    false
}
