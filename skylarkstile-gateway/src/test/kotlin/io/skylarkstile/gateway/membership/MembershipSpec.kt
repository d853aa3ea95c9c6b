/*
 * Guards against orders of two holders when the set of instances changes while this instance can't see the store.
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

/** Takes writes and never answers. */
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

/** Takes writes of the own record and counts the targets in them; removals end with [onRemove]. */
private class WritingStore(
    private val onRemove: StoreResult<Unit> = StoreResult.Success(Unit),
) : SharedStore by SilentStore {
    val written = ArrayList<Int>()
    val removed = ArrayList<String>()
    private var revision = 100L

    override fun replace(
        kind: StoreKind,
        name: String,
        spec: String,
        revision: Long?,
        done: (StoreResult<StoredObject>) -> Unit,
    ) {
        written.add(recordJson.decodeFromString(GatewayInstance.serializer(), spec).settled.size)
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

/** Nobody else was heard. */
private object Alone : PeerPresence {
    override fun heardAtOrNull(name: String): Long? = null

    override fun removalTurnOrNull(
        name: String,
        present: Collection<String>,
    ): Int = 0
}

/** No instance answers. */
private val dead = LivenessCheck { _, done -> done(false) }

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
    val membership = Membership(self, SilentStore, ManualScheduler(), lease, { targets }, Alone, dead, {})

    init {
        membership.listed(StorePage(listOf(stored("a", 3)), 3), 0, returnBy = null)
        membership.confirmed(0, 0, 3)
        membership.confirmed(8_000, 8_000, 3)
    }

    fun ordered(now: Long) = targets.count { lease.tokenOrNull(it, now) != null }
}

class MembershipSpec :
    FunSpec({
        test("after an outage without a change the instance goes on at once") {
            val fixture = Fixture()
            fixture.ordered(20_000) shouldBe 0
            fixture.membership.changed(StorePage(emptyList(), 3), 20_000, returnBy = 22_200)
            fixture.membership.confirmed(20_000, 20_000, 3)
            fixture.ordered(20_000) shouldBe targets.size
        }

        test("targets of an instance that joined and left unseen are ordered again only after the wait, and with a higher token") {
            val fixture = Fixture()
            val moved = targets.filter { InstanceSet(mapOf("a" to record("a"), "b" to record("b"))).holderOrNull(it) == "b" }
            fixture.membership.changed(
                StorePage(listOf(stored("b", 10), StoredObject("b", 11, null)), 11),
                20_000,
                returnBy = 22_200,
            )
            fixture.membership.confirmed(20_000, 20_000, 11)
            fixture.ordered(20_000) shouldBe targets.size - moved.size
            fixture.membership.confirmed(27_300, 27_300, 11)
            moved.map { fixture.lease.tokenOrNull(it, 27_300) }.toSet() shouldBe setOf(11L)
        }

        test("when the history is gone after an outage, all targets wait") {
            val fixture = Fixture()
            fixture.membership.listed(StorePage(listOf(stored("a", 3)), 30), 20_000, returnBy = 22_200)
            fixture.membership.confirmed(20_000, 20_000, 30)
            fixture.ordered(20_000) shouldBe 0
        }

        // Each write of a record reaches all instances, so a fleet whose targets come and go wrote with the product of both numbers.
        test("the own record isn't written when targets go, and changes of it are written together") {
            val store = WritingStore()
            val scheduler = ManualScheduler()
            val known = targets.toMutableList()
            val lease = OrderLease("a", 3_000)
            val membership = Membership(self, store, scheduler, lease, { known }, Alone, dead, {})
            membership.listed(StorePage(listOf(stored("a", 3)), 3), 0, returnBy = null)

            fun tend(ms: Int) = repeat(ms / 250) {
                scheduler.advance(250)
                membership.confirmed(scheduler.now(), scheduler.now(), 3)
                lease.refresh(known)
                membership.tend()
            }
            tend(9_000)
            store.written shouldBe listOf(targets.size)
            known.removeAt(0)
            tend(3_000)
            store.written.size shouldBe 1
            (1..5).forEach {
                known.add("new-$it")
                tend(250)
            }
            tend(3_000)
            (store.written.size <= 3) shouldBe true
            store.written.last() shouldBe known.size
        }

        test("an instance whose record has changed unseen is listed anew before it is removed") {
            val store = WritingStore(StoreResult.Conflict)
            val scheduler = ManualScheduler()
            var lists = 0
            val membership = Membership(self, store, scheduler, OrderLease("a", 3_000), { emptyList() }, Alone, dead, {}) { lists++ }
            membership.listed(StorePage(listOf(stored("a", 3), stored("b", 4)), 4), 0, returnBy = null)
            scheduler.advance(4_000)
            membership.tend()
            lists shouldBe 1
        }

        // Live instances whose messages were lost on full links left the set, and their targets got a second holder.
        test("an instance that is silent but answers stays in the set, and is removed once it doesn't answer") {
            val store = WritingStore()
            val scheduler = ManualScheduler()
            var lives = true
            var asked = 0
            val liveness =
                LivenessCheck { _, done ->
                    asked++
                    scheduler.after(100) { done(lives) }
                }
            val membership = Membership(self, store, scheduler, OrderLease("a", 3_000), { emptyList() }, Alone, liveness, {})
            membership.listed(StorePage(listOf(stored("a", 3), stored("b", 4)), 4), 0, returnBy = null)

            fun tend(ms: Int) = repeat(ms / 250) {
                scheduler.advance(250)
                membership.tend()
            }
            tend(20_000)
            store.removed shouldBe emptyList()
            (asked in 6..10) shouldBe true
            lives = false
            tend(6_000)
            store.removed.first() shouldBe "b"
        }

        test("instances that are gone are removed together") {
            val store = WritingStore()
            val scheduler = ManualScheduler()
            val names = List(30) { "i-$it" }
            val presence =
                object : PeerPresence by Alone {
                    override fun heardAtOrNull(name: String) = scheduler.now().takeIf { name.removePrefix("i-").toInt() >= 12 }
                }
            val membership = Membership(self, store, scheduler, OrderLease("a", 3_000), { emptyList() }, presence, dead, {})
            membership.listed(StorePage((names + "a").map { stored(it, 4) }, 4), 0, returnBy = null)
            repeat(17) {
                scheduler.advance(250)
                membership.tend()
            }
            store.removed.sorted() shouldBe names.take(12).sorted()
        }
    })

private fun record(name: String) =
    InstanceRecord(name, "dc", InetSocketAddress("127.0.0.1", 1), InetSocketAddress("127.0.0.1", 2), 1, emptySet())
