/*
 * Checks the faults that the TCP proxy injects, with plain sockets and an echo server.
 */
package io.skylarkstile.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.skylarkstile.standin.proxy.LinkSpec
import io.skylarkstile.standin.proxy.proxyStandin
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread

class ProxyStandinSpec :
    FunSpec({
        val echo = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val target = "127.0.0.1:${echo.localPort}"
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { echo.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { socket.getInputStream().copyTo(socket.getOutputStream()) } }
            }
        }
        val proxy = proxyStandin("127.0.0.1:0", listOf(LinkSpec("a-b", "127.0.0.1:0", target)))
        val port by lazy { runBlocking { portOf(proxy.address, "a-b") } }
        afterSpec {
            proxy.close()
            echo.close()
        }
        afterTest { control(proxy.address, """{"links":["a-b"],"heal":true}""") }

        suspend fun injectFault(fields: String) = control(proxy.address, """{"links":["a-*"],$fields}""")

        test("forwards bytes and counts them") {
            Socket("127.0.0.1", port).use { it.sendAndReceive("hello") shouldBe "hello" }
            json(proxy.address, "GET", "/control/state").second.toString() shouldContain """"bytesToTarget":5"""
        }

        test("delays both directions") {
            injectFault(""""delayMs":60""")
            Socket("127.0.0.1", port).use {
                val begin = System.nanoTime()
                it.sendAndReceive("x") shouldBe "x"
                ((System.nanoTime() - begin) / 1e6) shouldBeGreaterThan 120.0
            }
        }

        test("closes connections and refuses new ones while cut") {
            val open = Socket("127.0.0.1", port).also { it.sendAndReceive("x") }
            injectFault(""""cut":true""")
            open.soTimeout = 2_000
            open.getInputStream().read() shouldBe -1
            runCatching { Socket("127.0.0.1", port) }.exceptionOrNull()!!.let { it is IOException } shouldBe true
            injectFault(""""heal":true""")
            Socket("127.0.0.1", port).use { it.sendAndReceive("back") shouldBe "back" }
        }

        test("silences one direction of open connections while new ones work, and goes on without a loss when healed") {
            val open = Socket("127.0.0.1", port).also { it.sendAndReceive("x") }
            injectFault(""""silence":"fromTarget"""")
            open.isSilentAfter("lost?") shouldBe true
            Socket("127.0.0.1", port).use { it.sendAndReceive("new") shouldBe "new" }
            injectFault(""""heal":true""")
            open.soTimeout = 2_000
            open.getInputStream().readNBytes(5).decodeToString() shouldBe "lost?"
            open.close()
        }

        test("accepts and forwards nothing while half-open") {
            injectFault(""""halfOpen":true""")
            Socket("127.0.0.1", port).use { it.isSilentAfter("x") shouldBe true }
        }

        test("limits a fault to one caller of a shared link, so that two instances can be cut apart") {
            control(proxy.address, """{"add":[{"name":"s","listen":"127.0.0.1:0","target":"$target","callers":["one","two"]}]}""")
            val shared = portOf(proxy.address, "s")
            val one = Socket("127.0.0.1", shared).also { it.sendAndReceive("hello one") shouldBe "hello one" }
            val two = Socket("127.0.0.1", shared).also { it.sendAndReceive("hello two") shouldBe "hello two" }
            control(proxy.address, """{"links":["s"],"from":"one","cut":true}""")
            one.soTimeout = 2_000
            one.getInputStream().read() shouldBe -1
            two.sendAndReceive("still here") shouldBe "still here"
            Socket("127.0.0.1", shared).use {
                it.soTimeout = 2_000
                it.getOutputStream().write("hello one".toByteArray())
                it.getInputStream().read() shouldBe -1
            }
            control(proxy.address, """{"links":["s"],"from":"one","heal":true}""")
            Socket("127.0.0.1", shared).use { it.sendAndReceive("hello one") shouldBe "hello one" }
        }

        test("adds links while it runs and refuses names it does not have") {
            control(proxy.address, """{"add":[{"name":"c","listen":"127.0.0.1:0","target":"$target"}]}""")
            json(proxy.address, "POST", "/control", """{"links":["d"],"cut":true}""").first shouldBe 400
        }
    })

/** Returns the port that the link [name] of the proxy listens on. */
private suspend fun portOf(
    proxy: String,
    name: String,
): Int {
    val links = json(proxy, "GET", "/control/state").second.jsonArray.map { it.jsonObject }
    val link = links.first { it.getValue("name").jsonPrimitive.content == name }
    return link
        .getValue("listen")
        .jsonPrimitive.content
        .substringAfter(':')
        .toInt()
}

private fun Socket.sendAndReceive(text: String): String {
    soTimeout = 2_000
    getOutputStream().write(text.toByteArray())
    return getInputStream().readNBytes(text.length).decodeToString()
}

private fun Socket.isSilentAfter(text: String): Boolean {
    soTimeout = 200
    getOutputStream().write(text.toByteArray())
    return runCatching { getInputStream().read() }.exceptionOrNull() is SocketTimeoutException
}
