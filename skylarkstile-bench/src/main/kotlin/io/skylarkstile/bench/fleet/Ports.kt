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

private val ip: String = loopbackIp(ProcessHandle.current().pid().toInt())

/**
 * Returns the loopback IP of the process [pid], which has at most 22 bits on Linux. The second byte starts at 64 to avoid common addresses; the
 * last one is from 1 to 128, since a JVM that prefers IPv4 can't bind an address that ends in 255.
 */
internal fun loopbackIp(pid: Int): String = "127.${64 + (pid shr 15 and 0x7f)}.${pid shr 7 and 0xff}.${1 + (pid and 0x7f)}"

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
