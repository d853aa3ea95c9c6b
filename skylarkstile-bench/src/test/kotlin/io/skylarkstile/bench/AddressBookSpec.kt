/*
 * Tests how callers resolve and refresh addresses.
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
        // Guards against a caller that only knows addresses of replaced instances and therefore fails permanently.
        test("queries the addresses of the last answer when every seed is gone and one address has failed") {
            httpClient(connectTimeoutMs = 1_000).use { client ->
                var listedAddresses = listOf<String>()
                val seed = addressServer { listedAddresses }
                val successor = addressServer { listedAddresses }
                var now = 0L
                val addressBook = AddressBook(client, listOf(seed.address)) { now }
                successor.use {
                    listedAddresses = listOf(seed.address, successor.address)
                    addressBook.addresses(MODEL, KEY) shouldBe listedAddresses
                    seed.close()
                    listedAddresses = listOf(successor.address)
                    addressBook.expire(MODEL, seed.address)
                    addressBook.addresses(MODEL, KEY) shouldBe listedAddresses
                    now += 1_000
                    addressBook.addresses("adapter-2", KEY) shouldBe listedAddresses
                }
            }
        }
    })

private fun addressServer(addresses: () -> List<String>): HttpServer = httpServer("127.0.0.1:0", HttpServerLimits()) {
    val list = addresses().joinToString(",") { "\"$it\"" }
    wholeAnswer(200, "application/json", """{"addresses":[$list],"ttlMs":1000}""".toByteArray())
}
