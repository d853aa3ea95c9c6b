/*
 * Allocates free loopback addresses for processes that keep their address across restarts. Each JVM that starts a fleet uses its own
 * loopback IP, so runs on the same machine cannot take each other's ports between the check and the bind.
 */
package io.skylarkstile.bench.fleet

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/** The range is below Linux's ephemeral ports, so an outgoing connection cannot take a port before its process binds it. */
private const val FIRST_PORT = 15_000
private const val PORT_COUNT = 17_000

private val nextOffset = AtomicInteger()

/** Derived from the process id, which has at most 22 bits on Linux; the second byte starts at 64 to avoid common addresses. */
private val ip: String =
    ProcessHandle
        .current()
        .pid()
        .toInt()
        .let { pid -> "127.${64 + (pid shr 16 and 0x3f)}.${pid shr 8 and 0xff}.${pid and 0xff}" }

/** Returns a loopback address (`ip:port`) on which nothing listens. Addresses repeat only after the whole port range has been used. */
fun freeAddress(): String {
    repeat(PORT_COUNT) {
        val port = FIRST_PORT + nextOffset.getAndIncrement().mod(PORT_COUNT)
        if (isFree(port)) return "$ip:$port"
    }
    error("no free loopback port")
}

private fun isFree(port: Int): Boolean = try {
    ServerSocket(port, 1, InetAddress.getByName(ip)).close()
    true
} catch (_: IOException) {
    false
}
