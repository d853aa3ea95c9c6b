/*
 * Tests of the callers' address answers.
 */
package io.skylarkstile.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.load.AddressBook
import io.skylarkstile.transport.http.HttpServer
import io.skylarkstile.transport.http.HttpServerLimits
import io.skylarkstile.transport.http.httpClient
import io.skylarkstile.transport.http.httpServer
import io.skylarkstile.transport.http.wholeAnswer

private const val MODEL = "adapter-1"
private const val KEY = "sk-test"

class AddressBookSpec :
    FunSpec({
        // Guards against a caller that knows only the addresses of instances that have been replaced, and fails for good.
        test("asks the addresses of the last answer when every seed has gone and one address has failed") {
            httpClient(connectTimeoutMs = 1_000).use { client ->
                var listed = listOf<String>()
                val seed = addressServer { listed }
                val successor = addressServer { listed }
                var now = 0L
                val book = AddressBook(client, listOf(seed.address)) { now }
                successor.use {
                    listed = listOf(seed.address, successor.address)
                    book.addresses(MODEL, KEY) shouldBe listed
                    seed.close()
                    listed = listOf(successor.address)
                    book.forget(MODEL, seed.address)
                    book.addresses(MODEL, KEY) shouldBe listed
                    now += 1_000
                    book.addresses("adapter-2", KEY) shouldBe listed
                }
            }
        }
    })

private fun addressServer(addresses: () -> List<String>): HttpServer = httpServer("127.0.0.1:0", HttpServerLimits()) {
    val list = addresses().joinToString(",") { "\"$it\"" }
    wholeAnswer(200, "application/json", """{"addresses":[$list],"ttlMs":1000}""".toByteArray())
}
