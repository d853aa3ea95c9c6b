/*
 * Checks that the search in the received requests finds every occurrence of a key.
 */
package io.skylarkstile.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.standin.http.ReceivedLog
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.headersOf

class ReceivedLogSpec :
    FunSpec({
        fun request(secret: String) = HttpRequest("POST", "/v1/completions", headers = headersOf("X-Note" to secret), body = ByteArray(400))

        test("finds a text in request lines, header fields and bodies") {
            val log = ReceivedLog()
            log.add(request("sk-1"))
            log.add(HttpRequest("GET", "/a", rawUri = "/a?key=sk-1"))
            log.add(HttpRequest("GET", "/a", body = "sk-1".toByteArray()))
            log.add(HttpRequest("GET", "/a"))
            log.search("sk-1").matches shouldBe 3
        }

        test("goes on counting a text after its requests have left the bounded log") {
            val log = ReceivedLog(maxBytes = 1_000)
            log.search("sk-1").matches shouldBe 0
            repeat(10) { log.add(request("sk-1")) }
            log.search("sk-1").let { it.matches to it.complete } shouldBe (10L to true)
            log.search("sk-2").complete shouldBe false
        }
    })
