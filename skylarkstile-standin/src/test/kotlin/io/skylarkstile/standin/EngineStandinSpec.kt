/*
 * Checks the generated text, adapter slots, orders, batching, prefix cache and injected faults of the engine stand-in.
 */
package io.skylarkstile.standin

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import io.skylarkstile.standin.engine.EngineSettings
import io.skylarkstile.standin.engine.Generation
import io.skylarkstile.standin.engine.engineStandin
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.headersOf
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlin.time.Duration.Companion.seconds

private const val HANDLE = "stamps@3#7"
private val expected = Generation("stamps@3", "/w/stamps", "read this", 5)

class EngineStandinSpec :
    FunSpec({
        suspend fun <R> withEngine(
            settings: EngineSettings = EngineSettings(loadMs = 20, stepMs = 2.0, stateLagMs = 0),
            block: suspend (String) -> R,
        ) = engineStandin("127.0.0.1:0", settings).use { block(it.address) }

        suspend fun order(
            address: String,
            verb: String,
            handle: String = HANDLE,
            fence: Long? = null,
        ) = json(
            address,
            "POST",
            "/v1/${verb}_lora_adapter",
            """{"lora_name":"$handle","lora_path":"/w/${handle.substringBefore('@')}"}""",
            if (fence == null) headersOf() else headersOf("X-Fencing-Number" to "$fence"),
        )

        fun body(
            tokens: Int,
            stream: Boolean,
            more: String = "",
        ) = """{"model":"$HANDLE","prompt":"read this","seed":5,"max_tokens":$tokens,"stream":$stream$more}"""

        suspend fun stream(
            address: String,
            tokens: Int,
            id: String = "r1",
            more: String = "",
        ): HttpAnswer = call(address, "POST", "/v1/completions", body(tokens, true, more), headersOf("X-Request-Id" to id))

        suspend fun HttpAnswer.text(): String = bytes().decodeToString()

        suspend fun whole(
            address: String,
            tokens: Int,
        ) = json(address, "POST", "/v1/completions", body(tokens, false))

        test("streams the tokens that the adapter, path, prompt and seed determine, then the usage and the end mark") {
            withEngine { at ->
                order(at, "load").first shouldBe 200
                val answer = stream(at, 4)
                answer.headers["X-Adapter"] shouldBe HANDLE
                val text = answer.text()
                tokensOf(text) shouldBe expected.text(0, 4)
                text shouldContain """"completion_tokens":4"""
                text.endsWith("data: [DONE]\n\n") shouldBe true
                Generation("stamps@4", "/w/stamps", "read this", 5).text(0, 4) shouldNotBe expected.text(0, 4)
            }
        }

        test("answers chat completions whole in the same text") {
            withEngine { at ->
                order(at, "load")
                val chat = """{"model":"$HANDLE","messages":[{"role":"user","content":"hi"}],"max_tokens":2}"""
                json(at, "POST", "/v1/chat/completions", chat).second.toString() shouldContain
                    Generation("stamps@3", "/w/stamps", "user: hi\n", 0).text(0, 2)
            }
        }

        test("resumes the same text at the token asked for, with the usage of the whole answer") {
            withEngine { at ->
                order(at, "load")
                val text = stream(at, 6, more = ""","resume_from":4""").text()
                tokensOf(text) shouldBe expected.text(4, 6)
                text shouldContain """"completion_tokens":6"""
            }
        }

        test("refuses requests for adapters that are not loaded and loads into full slots") {
            withEngine(EngineSettings(slots = 1, loadMs = 10)) { at ->
                code(whole(at, 1)) shouldBe "adapter_not_loaded"
                order(at, "load").first shouldBe 200
                code(order(at, "load", "other@1#7")) shouldBe "no_free_slot"
                state(at, "present", "loaded") shouldContain HANDLE
            }
        }

        test("unloads an adapter in use, breaks its streams and counts the eviction") {
            withEngine { at ->
                order(at, "load")
                val answer = stream(at, 5_000)
                order(at, "unload").first shouldBe 200
                runCatching { answer.text() }.exceptionOrNull()!!::class shouldBe HttpBodyException::class
                state(at, "orders", "evictionsInUse") shouldBe "1"
            }
        }

        test("refuses old fencing numbers only when it checks them") {
            withEngine(EngineSettings(fencing = true, loadMs = 10)) { at ->
                json(at, "POST", "/v1/fence", headers = headersOf("X-Fencing-Number" to "9")).first shouldBe 200
                code(order(at, "load", fence = 8)) shouldBe "stale_fencing_number"
                order(at, "load", fence = 9).first shouldBe 200
            }
            withEngine { at ->
                order(at, "load", fence = 9).first shouldBe 200
                order(at, "unload", fence = 8).first shouldBe 200
            }
        }

        test("stops generating when the caller disconnects") {
            withEngine { at ->
                order(at, "load")
                stream(at, 100_000).body.take(2).toList()
                eventually(3.seconds) { state(at, "present", "running") shouldBe "0" }
                state(at, "cancelled") shouldBe "1"
            }
        }

        test("loses all adapters at a restart, breaks its streams and shows a new boot id") {
            withEngine { at ->
                order(at, "load")
                val before = stream(at, 100_000)
                control(at, """{"action":"restart"}""")
                runCatching { before.text() }.isFailure shouldBe true
                val after = call(at, "POST", "/v1/completions", body(1, false))
                after.status shouldBe 404
                after.headers["X-Boot-Id"] shouldNotBe before.headers["X-Boot-Id"]
                state(at, "present", "running") shouldBe "0"
            }
        }

        test("fails, breaks, stalls and crosses exactly the next answers") {
            withEngine { at ->
                control(at, """{"failLoads":1}""")
                code(order(at, "load")) shouldBe "load_failed"
                order(at, "load").first shouldBe 200
                control(at, """{"breakNext":1,"breakAfter":2}""")
                runCatching { stream(at, 4).text() }.isFailure shouldBe true
                control(at, """{"crossNext":1,"crossAfter":2}""")
                stream(at, 4, "mine").text().lines().count { "cmpl-mine" in it } shouldBe 5
                control(at, """{"stallNext":1,"stallAfter":1,"stallMs":300}""")
                val begin = System.nanoTime()
                tokensOf(stream(at, 4).text()) shouldBe expected.text(0, 4)
                ((System.nanoTime() - begin) / 1e6) shouldBeGreaterThan 300.0
            }
        }

        test("batches concurrent requests in the same steps and serves the lower priority number first") {
            withEngine(EngineSettings(loadMs = 10, stepMs = 5.0, maxBatch = 4)) { at ->
                order(at, "load")
                (1..4).map { async { stream(at, 60, "r$it").text() } }.forEach { it.await() }
                state(at, "batch", "steps").toInt() shouldBeLessThan 180
                control(at, """{"maxBatch":1}""")
                val first = async { stream(at, 100).text() }
                delay(30)
                val ends = mutableListOf<String>()
                val late = async { stream(at, 3, "late", ""","priority":5""").text().also { ends += "late" } }
                delay(30)
                val soon = async { stream(at, 3, "soon", ""","priority":1""").text().also { ends += "soon" } }
                listOf(first, late, soon).forEach { it.await() }
                ends shouldBe listOf("soon", "late")
            }
        }

        test("prefills a cached prefix for less") {
            withEngine { at ->
                order(at, "load")
                val prompt = "x".repeat(1_600)
                repeat(2) { json(at, "POST", "/v1/completions", """{"model":"$HANDLE","prompt":"$prompt","max_tokens":1}""") }
                state(at, "batch", "cachedTokens") shouldBe "400"
                control(at, """{"cacheEventLagMs":0}""")
                val events = json(at, "GET", "/v1/cache_events?after=0").second
                events.jsonObject
                    .getValue("events")
                    .jsonArray.size shouldBeLessThan 26
            }
        }

        test("counts executions by request id and keeps what it received for a search") {
            withEngine { at ->
                order(at, "load")
                repeat(2) { stream(at, 1, "twice").text() }
                state(at, "repeated", "twice") shouldBe "2"
                json(at, "GET", "/control/received?contains=twice").second.jsonObject["matches"].toString() shouldBe "2"
            }
        }

        test("shows its state with the configured lag") {
            withEngine(EngineSettings(loadMs = 10, stateLagMs = 800)) { at ->
                delay(900)
                order(at, "load")
                json(at, "GET", "/v1/state").second.toString().contains(HANDLE) shouldBe false
                eventually(4.seconds) { json(at, "GET", "/v1/state").second.toString() shouldContain HANDLE }
            }
        }
    })

/** Returns the concatenated text of all chunks of an event stream. */
private fun tokensOf(stream: String): String = Regex("\"text\":\"([^\"]*)\"").findAll(stream).joinToString("") { it.groupValues[1] }
