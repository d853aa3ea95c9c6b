/*
 * Guards against adapters that are believed to be where they no longer are, because an older message came later, and against memory that
 * grows with each target that was ever there.
 */
package io.skylarkstile.gateway.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.adapter.AdapterHolder
import io.skylarkstile.gateway.adapter.NoAdapters
import io.skylarkstile.gateway.adapter.NoOrders
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.HeldTarget

private class Heard {
    val targets = TargetTable().apply { repeat(3) { put(entry("t-$it")) } }
    val changes = ArrayList<String>()
    private val scheduler = ManualScheduler()
    private val holder = AdapterHolder("a", OrderLease("a", 3_000), targets, NoOrders, NoAdapters, Popularity(), scheduler) {}
    val news = TargetNews("a/1", targets, { holder }) { changes.add(it.id) }

    fun told(
        number: Long,
        vararg present: String,
        teller: String = "b/1",
    ) = news.apply(HeldTarget("t-0", true, present.toList(), emptyList(), teller, number), now = number)

    fun present() = checkNotNull(targets["t-0"]).adapters.keys.map { "$it" }
}

class TargetNewsSpec :
    FunSpec({
        test("news that was overtaken is dropped, and another holder's is taken") {
            val heard = Heard()
            heard.told(2, "m/a@1", "m/b@1")
            heard.told(1, "m/a@1")
            heard.present() shouldBe listOf("m/a@1", "m/b@1")
            heard.told(1, "m/c@1", teller = "c/1")
            heard.present() shouldBe listOf("m/c@1")
            heard.changes shouldBe listOf("t-0", "t-0")
        }

        test("what can't be read is left out, and unknown targets are ignored") {
            val heard = Heard()
            heard.told(1, "m/a@1", "nonsense")
            heard.present() shouldBe listOf("m/a@1")
            heard.news.apply(HeldTarget("gone", true, listOf("m/a@1"), emptyList(), "b/1", 5), now = 5)
        }

        test("changes are told to those whose calls wait on the target, and only for as long as they may wait") {
            val heard = Heard()
            val target = checkNotNull(heard.targets["t-0"])
            heard.news.wished("t-0", "b", now = 0)
            heard.news.wished("t-0", "c", now = 1_900)
            heard.news.wished("t-1", "d", now = 1_900)
            heard.news.changed(target)
            heard.news.takeNotices(now = 2_100).map { it.first.target to it.second } shouldBe listOf("t-0" to setOf("c"))
            heard.news.takeNotices(now = 2_100).isEmpty() shouldBe true
            heard.news.changed(target)
            heard.news.takeNotices(now = 4_000).isEmpty() shouldBe true
        }
    })
