/*
 * Tests the synchronization of several instances over in-memory peers: propagation, a start during an outage, and leaving targets.
 */
package io.skylarkstile.entry.snapshot

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.transport.platform.ListedInstance
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.RecordList
import io.skylarkstile.transport.platform.StoreError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private const val KEY =
    """{"schemaVersion":1,"workspace":"w","salt":"00112233445566778899aabbccddeeff","hash":"%s","withdrawn":true}"""

private class FakeStore(
    var down: Boolean = false,
) : ObjectStore {
    private val records = mutableListOf<StoredRecord>()
    var instances = emptyList<ListedInstance>()

    @Synchronized
    fun write(
        kind: String,
        name: String,
        value: String,
    ): Long {
        records += StoredRecord(kind, name, 1, records.size + 1L, value)
        return records.size.toLong()
    }

    override suspend fun list(kinds: List<String>) = answer { RecordList(records.size.toLong(), records.toList()) }

    override suspend fun watch(
        kinds: List<String>,
        after: Long,
        waitMs: Long,
    ): Result<RecordList, StoreError> {
        repeat((waitMs / 5).toInt()) { if (!down && records.size <= after) delay(5) }
        return answer { RecordList(records.size.toLong(), records.drop(after.toInt())) }
    }

    override suspend fun instances() = answer { instances }

    override suspend fun get(
        kind: String,
        name: String,
    ) = error("not used")

    override suspend fun put(
        kind: String,
        name: String,
        value: String,
        ifVersion: Long?,
    ) = error("not used")

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long?,
    ) = error("not used")

    @Synchronized
    private fun <T> answer(value: () -> T): Result<T, StoreError> = if (down) Err(StoreError.Unavailable("down", false)) else Ok(value())
}

class SnapshotSyncSpec :
    FunSpec({
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        afterSpec { scope.cancel() }
        val workspace = """{"schemaVersion":1,"rate":1,"burst":1}"""
        val target = """{"schemaVersion":1,"type":"service","address":"127.0.0.1:9","dataCentre":"a","service":"s"}"""

        fun members(count: Int) = (1..count).map { Member("i$it", 1, "", "", "dc", Member.State.Active) }

        fun InMemoryPeers.sync(
            name: String,
            store: ObjectStore,
            members: List<Member>,
        ) = snapshotSync(SnapshotMembership(name) { members }, store, network(name), 200).also { it.start(scope) }

        test("a change reaches an instance that is cut off from the platform, through its peers") {
            val peers = InMemoryPeers()
            val store = FakeStore()
            store.write("workspace", "a", workspace)
            val unreachableStore = FakeStore(down = true)
            val all = members(3)
            val syncs = listOf(peers.sync("i1", store, all), peers.sync("i2", store, all), peers.sync("i3", unreachableStore, all))
            eventually(5.seconds) { syncs.forEach { it.revision shouldBe 1 } }
            val changed = store.write("key", "k", KEY.format("5ec2e7".repeat(10) + "5ec2"))
            eventually(3.seconds) { syncs.forEach { it.current().keys["k"]?.withdrawn shouldBe true } }
            syncs[2].revision shouldBe changed
            syncs.forEach { it.dump().toString() shouldNotContain "5ec2e7" }
        }

        test("an instance that starts during an outage takes all pages and the leaving targets from a peer") {
            val peers = InMemoryPeers()
            val store = FakeStore()
            repeat(1_200) { store.write("workspace", "w$it", workspace) }
            store.write("target", "t1", target)
            store.instances = listOf(ListedInstance("t1", "127.0.0.1:9", "a", "leaving"))
            val first = peers.sync("i1", store, members(1))
            eventually(5.seconds) { first.current().leavingTargets shouldBe setOf("t1") }
            store.down = true
            val late = peers.sync("late", store, emptyList())
            eventually(5.seconds) {
                late.current().workspaces.size shouldBe 1_200
                late.current().leavingTargets shouldBe setOf("t1")
            }
            eventually(5.seconds) { first.dump().toString() shouldContain "\"platformWorks\":false" }
        }

        test("a leaving target is relayed within 3 s to members that do not poll") {
            val peers = InMemoryPeers()
            val store = FakeStore()
            store.write("target", "t1", target)
            val syncs = members(5).map { peers.sync(it.instance, store, members(5)) }
            eventually(5.seconds) { syncs.forEach { it.revision shouldBe 1 } }
            store.instances = listOf(ListedInstance("t1", "127.0.0.1:9", "a", "leaving"))
            eventually(3.seconds) { syncs.forEach { it.current().leavingTargets shouldBe setOf("t1") } }
        }
    })
