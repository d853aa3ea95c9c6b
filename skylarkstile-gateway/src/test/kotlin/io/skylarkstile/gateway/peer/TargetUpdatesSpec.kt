/*
 * Guards against outdated adapter lists of targets when an older message arrives after a newer one, and against memory that grows with
 * every target that ever existed.
 */
package io.skylarkstile.gateway.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.adapter.AdapterManager
import io.skylarkstile.gateway.adapter.NoAdapterFleet
import io.skylarkstile.gateway.adapter.NoTargetClient
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.HeldTarget

private class UpdateFixture {
    val targets = TargetTable().apply { repeat(3) { put(entry("t-$it")) } }
    val changes = ArrayList<String>()
    private val scheduler = ManualScheduler()
    private val adapterManager =
        AdapterManager("a", OrderLease("a", 3_000), targets, NoTargetClient, NoAdapterFleet, Popularity(), scheduler) {}
    val updates = TargetUpdates("a/1", targets, { adapterManager }) { changes.add(it.id) }

    fun receive(
        number: Long,
        vararg present: String,
        processId: String = "b/1",
    ) = updates.apply(HeldTarget("t-0", true, present.toList(), emptyList(), processId, number), now = number)

    fun present() = checkNotNull(targets["t-0"]).adapters.keys.map { "$it" }
}

class TargetUpdatesSpec :
    FunSpec({
        test("an update older than the last one is dropped, and an update of another holder is applied") {
            val fixture = UpdateFixture()
            fixture.receive(2, "m/a@1", "m/b@1")
            fixture.receive(1, "m/a@1")
            fixture.present() shouldBe listOf("m/a@1", "m/b@1")
            fixture.receive(1, "m/c@1", processId = "c/1")
            fixture.present() shouldBe listOf("m/c@1")
            fixture.changes shouldBe listOf("t-0", "t-0")
        }

        test("malformed adapter names are skipped, and unknown targets are ignored") {
            val fixture = UpdateFixture()
            fixture.receive(1, "m/a@1", "nonsense")
            fixture.present() shouldBe listOf("m/a@1")
            fixture.updates.apply(HeldTarget("gone", true, listOf("m/a@1"), emptyList(), "b/1", 5), now = 5)
        }

        test("changes are sent to instances whose calls wait on the target, and only as long as the calls may wait") {
            val fixture = UpdateFixture()
            val target = checkNotNull(fixture.targets["t-0"])
            fixture.updates.recordWaiting("t-0", "b", now = 0)
            fixture.updates.recordWaiting("t-0", "c", now = 1_900)
            fixture.updates.recordWaiting("t-1", "d", now = 1_900)
            fixture.updates.changed(target)
            fixture.updates.takeNotices(now = 2_100).map { it.first.target to it.second } shouldBe listOf("t-0" to setOf("c"))
            fixture.updates.takeNotices(now = 2_100).isEmpty() shouldBe true
            fixture.updates.changed(target)
            fixture.updates.takeNotices(now = 4_000).isEmpty() shouldBe true
        }
    })
