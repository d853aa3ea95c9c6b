/*
 * Verifies promise 3. Guards against a request that runs for another workspace than that of its key, and against refused calls that reach
 * a target.
 */
package io.skylarkstile.tests.proof

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.ModelRequest
import io.skylarkstile.tests.harness.Reply
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

class KeyScopeProofSpec :
    FunSpec({
        test("each key runs what its workspace or an open route allows, and refused calls reach no target") {
            withProofFleet("proof-scope") {
                val perth = fleet.records.key("perth-1", "perth")
                val withdrawn = fleet.records.key("cairo-2", "cairo").also { fleet.records.withdrawKey("cairo-2") }
                val cairo = fleet.records.key("cairo-1", "cairo")
                val secret = cairo.substringAfterLast('-')
                val keys =
                    mapOf(
                        "cairo" to cairo,
                        "perth" to perth,
                        "none" to null,
                        "withdrawn" to withdrawn,
                        "unknown" to "sk-nobody-$secret",
                        "foreign-id" to "sk-perth-1-$secret",
                        "empty" to "",
                    )
                // Wait until the keys written last apply on every instance.
                delay(5.seconds)
                var runCount = 0
                var refusalCount = 0
                val refusedIds = ArrayList<String>()
                for (entry in entries) {
                    for ((holder, key) in keys) {
                        for (call in calls) {
                            val id = "${entry.name}.$holder.${call.name}".replace('@', '.')
                            val reply = call.send(caller(entry, key), id)
                            withClue("$id: $reply") {
                                if (call.mayRun(holder)) {
                                    reply.status shouldBeIn listOf(200, 201)
                                    runCount++
                                } else {
                                    reply.status shouldBeIn listOf(401, 404)
                                    reply.outcome shouldBe "not-run"
                                    refusedIds += id
                                    refusalCount++
                                }
                            }
                        }
                    }
                }
                for (target in fleet.targets) refusedIds.forEach { withClue(it) { target.control.receivedWith(it) shouldBe 0 } }
                println("KeyScopeProofSpec: $runCount runs, $refusalCount refusals")
            }
        }
    })

/** One call that every key is tested with; [workspace] owns the adapter or route that it names. */
private class ScopedCall(
    val name: String,
    val workspace: String,
    val open: Boolean,
    val send: suspend (Caller, String) -> Reply,
) {
    /** Returns whether a call with the key of [holder] may run; a key that is sent must be valid even on open routes. */
    fun mayRun(holder: String): Boolean = holder == workspace || open && holder in listOf("cairo", "perth", "none")
}

private val calls =
    listOf("cairo", "perth").flatMap { workspace ->
        listOf("stamps" to false, "stamps@1" to false, "model" to false, "open-model" to true).map { (name, open) ->
            ScopedCall("$workspace-$name", workspace, open) { caller, id ->
                caller.send(ModelRequest("$workspace-$name", maxTokens = 1), "X-Request-Id" to id)
            }
        } +
            listOf("service" to false, "open-service" to true).flatMap { (name, open) ->
                listOf("GET" to "", "POST" to "{}").map { (method, body) ->
                    ScopedCall("$workspace-$name.$method", workspace, open) { caller, id ->
                        caller.call(method, "/svc/$workspace-$name/registrations", body, "X-Request-Id" to id)
                    }
                }
            }
    }
