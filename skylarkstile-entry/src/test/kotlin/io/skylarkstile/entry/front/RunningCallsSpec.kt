/*
 * Tests that calls end when their key is withdrawn.
 */
package io.skylarkstile.entry.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.KeyRecord

class RunningCallsSpec :
    FunSpec({
        val key = KeyRecord(1, "glass", "0".repeat(32), "0".repeat(64))
        val before = Snapshot(revision = 1, keys = mapOf("k1" to key))
        val after = Snapshot(revision = 2, keys = mapOf("k1" to key.copy(withdrawn = true)))

        test("a call whose key was withdrawn while it waited for admission ends at once") {
            val running = RunningCalls()
            running.endCallsOfWithdrawnKeys(before) shouldBe 0
            running.begin("k1", "glass", 0).endSignal.isCompleted shouldBe false
            running.endCallsOfWithdrawnKeys(after) shouldBe 1
            running.begin("k1", "glass", 0).endSignal.isCompleted shouldBe true
        }

        test("a call without a key continues") {
            val running = RunningCalls()
            running.endCallsOfWithdrawnKeys(after)
            running.begin(null, "glass", 0).endSignal.isCompleted shouldBe false
        }
    })
