/*
 * Guards against orders of two holders if the instance set changes while this instance can't read the store.
 */
package io.skylarkstile.gateway.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.store.SharedStore
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.store.StorePage
import io.skylarkstile.gateway.store.StoreResult
import io.skylarkstile.gateway.store.StoredObject
import io.skylarkstile.schema.generated.GatewayInstance
import io.skylarkstile.schema.recordJson
import java.net.InetSocketAddress

/** Accepts all requests and never answers. */
private object SilentStore : SharedStore {
    override fun list(
        kind: StoreKind,
        done: (StoreResult<StorePage>) -> Unit,
    ) = Unit

    override fun watch(
        kind: StoreKind,
        revision: Long,
        waitMs: Long,
        done: (StoreResult<StorePage>) -> Unit,
    ) = Unit

    override fun create(
        kind: StoreKind,
        name: String,
        spec: String,
        done: (StoreResult<StoredObject>) -> Unit,
    ) = Unit

    override fun replace(
        kind: StoreKind,
        name: String,
        spec: String,
        revision: Long?,
        done: (StoreResult<StoredObject>) -> Unit,
    ) = Unit

    override fun remove(
        kind: StoreKind,
        name: String,
        revision: Long,
        done: (StoreResult<Unit>) -> Unit,
    ) = Unit
}

private val self =
    InstanceRecord("a", "dc", InetSocketAddress("127.0.0.1", 1), InetSocketAddress("127.0.0.1", 2), 1, emptySet())

/** Accepts writes of the instance's own record and keeps the number of targets in each; removals end with [onRemove]. */
private class WritingStore(
    private val onRemove: StoreResult<Unit> = StoreResult.Success(Unit),
) : SharedStore by SilentStore {
    val writtenSettledCounts = ArrayList<Int>()
    val removed = ArrayList<String>()
    private var revision = 100L

    override fun replace(
        kind: StoreKind,
        name: String,
        spec: String,
        revision: Long?,
        done: (StoreResult<StoredObject>) -> Unit,
    ) {
        writtenSettledCounts.add(recordJson.decodeFromString(GatewayInstance.serializer(), spec).settled.size)
        done(StoreResult.Success(StoredObject(name, ++this.revision, spec)))
    }

    override fun remove(
        kind: StoreKind,
        name: String,
        revision: Long,
        done: (StoreResult<Unit>) -> Unit,
    ) {
        removed.add(name)
        done(onRemove)
    }
}

/** No other instance has sent a message. */
private object NoPeers : PeerContacts {
    override fun lastHeardAtOrNull(name: String): Long? = null

    override fun removalRankOrNull(
        name: String,
        present: Collection<String>,
    ): Int = 0
}

/** No instance answers. */
private val noAnswer = LivenessCheck { _, done -> done(false) }

private val targets = List(20) { "t-$it" }

private fun stored(
    name: String,
    revision: Long,
) = StoredObject(
    name,
    revision,
    recordJson.encodeToString(GatewayInstance.serializer(), GatewayInstance("dc", "127.0.0.1:1", "127.0.0.1:2", 1, emptyList())),
)

private class Fixture {
    val lease = OrderLease("a", 3_000)
    val membership = Membership(self, SilentStore, ManualScheduler(), lease, { targets }, NoPeers, noAnswer, {})

    init {
        membership.onListed(StorePage(listOf(stored("a", 3)), 3), 0, reappearUntil = null)
        membership.onConfirmed(0, 0, 3)
        membership.onConfirmed(8_000, 8_000, 3)
    }

    fun orderableCount(now: Long) = targets.count { lease.tokenOrNull(it, now) != null }
}

class MembershipSpec :
    FunSpec({
        test("after an outage without a change the instance continues to give orders at once") {
            val fixture = Fixture()
            fixture.orderableCount(20_000) shouldBe 0
            fixture.membership.onChanged(StorePage(emptyList(), 3), 20_000, reappearUntil = 22_200)
            fixture.membership.onConfirmed(20_000, 20_000, 3)
            fixture.orderableCount(20_000) shouldBe targets.size
        }

        test("targets of an instance that joined and left during an outage get orders only after the wait, and with a higher token") {
            val fixture = Fixture()
            val movedTargets = targets.filter { InstanceSet(mapOf("a" to record("a"), "b" to record("b"))).orderHolderOrNull(it) == "b" }
            fixture.membership.onChanged(
                StorePage(listOf(stored("b", 10), StoredObject("b", 11, null)), 11),
                20_000,
                reappearUntil = 22_200,
            )
            fixture.membership.onConfirmed(20_000, 20_000, 11)
            fixture.orderableCount(20_000) shouldBe targets.size - movedTargets.size
            fixture.membership.onConfirmed(27_300, 27_300, 11)
            movedTargets.map { fixture.lease.tokenOrNull(it, 27_300) }.toSet() shouldBe setOf(11L)
        }

        test("if the history is gone after an outage, no target gets orders before the wait") {
            val fixture = Fixture()
            fixture.membership.onListed(StorePage(listOf(stored("a", 3)), 30), 20_000, reappearUntil = 22_200)
            fixture.membership.onConfirmed(20_000, 20_000, 30)
            fixture.orderableCount(20_000) shouldBe 0
        }

        // Each write of a record reaches all instances, so the traffic grew with the product of target changes and instances.
        test("an instance's own record isn't written when targets are removed, and its changes are written together") {
            val store = WritingStore()
            val scheduler = ManualScheduler()
            val known = targets.toMutableList()
            val lease = OrderLease("a", 3_000)
            val membership = Membership(self, store, scheduler, lease, { known }, NoPeers, noAnswer, {})
            membership.onListed(StorePage(listOf(stored("a", 3)), 3), 0, reappearUntil = null)

            fun runFor(ms: Int) = repeat(ms / 250) {
                scheduler.advance(250)
                membership.onConfirmed(scheduler.now(), scheduler.now(), 3)
                lease.refresh(known)
                membership.maintain()
            }
            runFor(9_000)
            store.writtenSettledCounts shouldBe listOf(targets.size)
            known.removeAt(0)
            runFor(3_000)
            store.writtenSettledCounts.size shouldBe 1
            (1..5).forEach {
                known.add("new-$it")
                runFor(250)
            }
            runFor(3_000)
            (store.writtenSettledCounts.size <= 3) shouldBe true
            store.writtenSettledCounts.last() shouldBe known.size
        }

        test("a removal that fails because the record has changed lists the instances again") {
            val store = WritingStore(StoreResult.Conflict)
            val scheduler = ManualScheduler()
            var lists = 0
            val membership =
                Membership(self, store, scheduler, OrderLease("a", 3_000), { emptyList() }, NoPeers, noAnswer, {}) { lists++ }
            membership.onListed(StorePage(listOf(stored("a", 3), stored("b", 4)), 4), 0, reappearUntil = null)
            scheduler.advance(4_000)
            membership.maintain()
            lists shouldBe 1
        }

        // Live instances whose messages were lost on full links were removed from the set, and their targets got a second holder.
        test("a silent instance stays in the set while it answers probes, and is removed once it doesn't") {
            val store = WritingStore()
            val scheduler = ManualScheduler()
            var isAlive = true
            var probeCount = 0
            val liveness =
                LivenessCheck { _, done ->
                    probeCount++
                    scheduler.after(100) { done(isAlive) }
                }
            val membership = Membership(self, store, scheduler, OrderLease("a", 3_000), { emptyList() }, NoPeers, liveness, {})
            membership.onListed(StorePage(listOf(stored("a", 3), stored("b", 4)), 4), 0, reappearUntil = null)

            fun runFor(ms: Int) = repeat(ms / 250) {
                scheduler.advance(250)
                membership.maintain()
            }
            runFor(20_000)
            store.removed shouldBe emptyList()
            (probeCount in 6..10) shouldBe true
            isAlive = false
            runFor(6_000)
            store.removed.first() shouldBe "b"
        }

        test("several failed instances are removed together") {
            val store = WritingStore()
            val scheduler = ManualScheduler()
            val names = List(30) { "i-$it" }
            val presence =
                object : PeerContacts by NoPeers {
                    override fun lastHeardAtOrNull(name: String) = scheduler.now().takeIf { name.removePrefix("i-").toInt() >= 12 }
                }
            val membership = Membership(self, store, scheduler, OrderLease("a", 3_000), { emptyList() }, presence, noAnswer, {})
            membership.onListed(StorePage((names + "a").map { stored(it, 4) }, 4), 0, reappearUntil = null)
            repeat(17) {
                scheduler.advance(250)
                membership.maintain()
            }
            store.removed.sorted() shouldBe names.take(12).sorted()
        }
    })

private fun record(name: String) =
    InstanceRecord(name, "dc", InetSocketAddress("127.0.0.1", 1), InetSocketAddress("127.0.0.1", 2), 1, emptySet())
