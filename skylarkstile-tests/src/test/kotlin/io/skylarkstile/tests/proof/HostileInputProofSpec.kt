/*
 * Guards against hostile callers that exhaust the memory of an instance or keep it from serving others. The heap is slightly larger than
 * the formula in section 6 of the design page requires for the settings below.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import io.skylarkstile.bench.fleet.ChildProcess
import io.skylarkstile.bench.fleet.EntryAddresses
import io.skylarkstile.bench.fleet.Fleet
import io.skylarkstile.bench.fleet.entryDefaults
import io.skylarkstile.bench.fleet.freeAddress
import io.skylarkstile.bench.fleet.writeSettings
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.ModelRequest
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.io.File

private const val HEAP = "54m"

/** Attempts per request, all at the same address because there is only one instance. */
private const val ATTEMPTS = 5
private const val ATTACK_MS = 6_000L

private val SMALL_LIMITS =
    mapOf(
        "http.maxConnections" to "150",
        "http.maxBodyBytes" to "262144",
        "http.maxBufferedBytes" to "2097152",
        "http.readAheadBytes" to "1048576",
        "http.readTimeoutMs" to "2000",
        "http.writeTimeoutMs" to "2000",
    )

class HostileInputProofSpec :
    FunSpec({
        test("an instance with a small heap survives hostile callers of all kinds and answers the others completely") {
            Fleet("proof-hostile").use { fleet ->
                fleet.start()
                fleet.records.workspace("cairo", requestsPerSecond = 100_000.0, requestBurst = 100_000.0)
                fleet.records.adapter("cairo-stamps", "cairo")
                fleet.records.serviceRoute("cairo-service", "cairo", "registry")
                val key = fleet.records.key("cairo-1", "cairo")
                fleet.engine("engine-1", settings = """{"stepMs":1.0}""")
                fleet.service("registry-1", "registry")
                val entry = startEntry(fleet)
                val caller = Caller(fleet.client, entry.address, key, 5_000)
                repeat(3) {
                    caller.call("POST", "/svc/cairo-service/registrations", "\"${"x".repeat(150_000)}\"").status shouldBe 201
                }
                val replies = HostileCallers(entry.address, key).use { callDuringAttack(it, caller) }
                val first = replies.groupingBy { it.first().run { "$status $outcome $failure" } }.eachCount()
                println("HostileInputProofSpec: ${replies.size} calls, first answers $first, attempts ${replies.sumOf { it.size }}")
                withClue(entry.tail()) {
                    entry.isAlive shouldBe true
                    entry.log.readText() shouldNotContain "OutOfMemoryError"
                    replies.size shouldBeGreaterThan 10
                    replies.filter { !it.last().complete || it.last().status != 200 } shouldBe emptyList()
                    delay(1_000)
                    repeat(5) { caller.send(request(it)).shouldAnswer(request(it)) }
                }
            }
        }
    })

private fun request(number: Int) = ModelRequest(
    "cairo-stamps",
    prompt = "plate $number ${"w".repeat(500)}",
    maxTokens = 6,
    stream =
        number % 2 == 0,
)

private suspend fun callDuringAttack(
    hostileCallers: HostileCallers,
    caller: Caller,
): List<List<Reply>> = coroutineScope {
    hostileCallers.start()
    val end = System.nanoTime() + ATTACK_MS * 1_000_000
    val regularCallers =
        (0 until 4).map { callerIndex ->
            async {
                buildList {
                    var number = callerIndex * 1_000
                    while (System.nanoTime() < end) {
                        add(sendWithRetries(caller, request(number)))
                        number++
                        delay(20)
                    }
                }
            }
        }
    regularCallers.awaitAll().flatten().also { println("HostileInputProofSpec: ${hostileCallers.openedCount} hostile connections") }
}

/** Retries [request], as callers do, after a lost connection or a refusal; any complete response must be correct. */
private suspend fun sendWithRetries(
    caller: Caller,
    request: ModelRequest,
): List<Reply> = buildList {
    do {
        if (isNotEmpty()) delay(50)
        val reply = caller.send(request).also { add(it) }
        val isComplete = reply.status == 200 && reply.complete
        if (isComplete) reply.shouldAnswer(request)
    } while (!isComplete && size < ATTEMPTS)
}

private suspend fun startEntry(fleet: Fleet): ChildProcess {
    val (caller, peer, admin) = List(3) { freeAddress() }
    val directory = File("target/harness/proof-hostile")
    val file = File(directory, "entry-1.ini")
    val addresses = EntryAddresses(caller, peer, admin, caller, peer)
    writeSettings(file, entryDefaults("entry-1", "dc1", addresses, fleet.objects.address, emptyList()) + SMALL_LIMITS)
    val process = ChildProcess("entry-1", "io.skylarkstile.entry.main.MainKt", listOf("--settings", file.path), directory, HEAP)
    return process.start().awaitReady()
}
