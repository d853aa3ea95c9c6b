/*
 * Tests that a snapshot never gets an older revision and always equals the platform's content at its revision, for any order of lists,
 * watches, pulls and restarts.
 */
package io.skylarkstile.entry.snapshot

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.skylarkstile.config.log.configureLogging
import io.skylarkstile.schema.generated.LogSettings
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.transport.platform.ListedInstance
import kotlin.random.Random

private const val WORKSPACE = """{"schemaVersion":1,"rate":1,"burst":1}"""

/** Simulates the platform and keeps its content at every revision, so that a snapshot can be compared with the content at its revision. */
private class Platform {
    val content = sortedMapOf<String, StoredRecord>()
    private val history = mutableMapOf<Long, List<StoredRecord>>(0L to emptyList())
    private val changes = mutableListOf<StoredRecord>()
    var revision = 0L

    fun put(name: String) {
        val record = StoredRecord("workspace", name, (content[name]?.version ?: 0) + 1, ++revision, WORKSPACE)
        content[name] = record
        recordChange(record)
    }

    fun remove(name: String) {
        if (content.remove(name) != null) recordChange(StoredRecord("workspace", name, 0, ++revision, null))
    }

    /** Simulates a write of another kind of object, which raises the revision without changing a record. */
    fun writeOtherKind() {
        revision++
        history[revision] = content.values.toList()
    }

    fun recordsAt(revision: Long): List<StoredRecord> = history.getValue(revision)

    /** Returns the newest change of each record after revision [after], as a watch does. */
    fun changesAfter(after: Long): List<StoredRecord> = changes
        .filter { it.revision > after }
        .associateBy { it.name }
        .values
        .toList()

    private fun recordChange(record: StoredRecord) {
        changes += record
        history[revision] = content.values.toList()
    }
}

class SnapshotStateSpec :
    FunSpec({
        beforeSpec { configureLogging(LogSettings(level = LogSettings.Level.Error)) }

        // Guards against removed records that reappear, gaps in incremental pulls and pulls that mix pages of different revisions.
        test("no snapshot gets older or differs from the platform, under random writes, lists, watches, interleaved pulls and restarts") {
            checkAll(PropTestConfig(iterations = 400), Arb.long()) { seed ->
                val random = Random(seed)
                val platform = Platform()
                val publishers = Array(4) { SnapshotPublisher() }
                repeat(120) {
                    val index = random.nextInt(publishers.size)
                    val publisher = publishers[index]
                    val before = publisher.state
                    when (random.nextInt(10)) {
                        0, 1, 2 -> platform.put("w${random.nextInt(6)}")
                        3 -> platform.remove("w${random.nextInt(6)}")
                        4 -> platform.writeOtherKind()
                        5 -> publisher.update { it.withList(platform.content.values.toList(), platform.revision) }
                        6 ->
                            publisher.update {
                                it.withChanges(
                                    platform.changesAfter(before.knownRevision),
                                    before.knownRevision,
                                    platform.revision,
                                )
                            }
                        7, 8 -> pullBetween(publishers[random.nextInt(publishers.size)], publisher, platform, random)
                        else -> if (random.nextInt(5) == 0) publishers[index] = SnapshotPublisher()
                    }
                    if (publishers[index] === publisher) {
                        publisher.state.knownRevision shouldBeGreaterThanOrEqual before.knownRevision
                        publisher.state.revision shouldBeGreaterThanOrEqual before.revision
                    }
                    withClue("seed $seed") {
                        for (each in publishers) {
                            each.state.table.stored shouldBe platform.recordsAt(each.state.revision)
                            each.state.table.stored shouldBe platform.recordsAt(each.state.knownRevision)
                        }
                    }
                }
            }
        }

        test("a full pull is split into pages limited in count and size") {
            val big = StoredRecord("workspace", "w", 1, 1, "x".repeat(200_000))
            val records = (1..1_200).map { StoredRecord("workspace", "w%04d".format(it), 1, it.toLong(), WORKSPACE) }
            val state = SnapshotState().withList(records, 1_200)
            val sizes =
                generateSequence(state.page(0, 0, emptySet()) to 0) { (page, offset) ->
                    if (page.more) state.page(0, offset + page.records.size, emptySet()) to offset + page.records.size else null
                }.map { it.first.records.size }.toList()
            sizes shouldBe listOf(500, 500, 200)
            SnapshotState()
                .withList(listOf(big, big.copy(name = "v")), 2)
                .page(0, 0, emptySet())
                .records.size shouldBe 1
        }

        test("an older list or pull changes nothing") {
            val publisher = SnapshotPublisher()
            publisher.update { it.withList(listOf(StoredRecord("workspace", "a", 1, 9, WORKSPACE)), 9) } shouldBe true
            publisher.update { it.withList(emptyList(), 8) } shouldBe false
            publisher.update { it.withChanges(listOf(StoredRecord("workspace", "a", 1, 8, null)), 0, 8) } shouldBe false
            publisher.current().workspaces.keys shouldBe setOf("a")
        }

        test("listeners see increasing revisions, and a listener that throws does not affect the others") {
            val publisher = SnapshotPublisher()
            val seen = mutableListOf<Long>()
            publisher.onChange { error("failing listener") }
            publisher.onChange { seen += it.revision }
            repeat(
                5,
            ) { step -> publisher.update { it.withList(listOf(StoredRecord("workspace", "a", 1, step + 1L, WORKSPACE)), step + 1L) } }
            seen shouldBe listOf(1L, 2L, 3L, 4L, 5L)
        }

        test("leaving targets are the union of the pollers' reports and match by name or address") {
            val publisher = SnapshotPublisher()
            publisher.updateLeavingTargets("a", setOf("x"), setOf("a", "b"))
            publisher.updateLeavingTargets("b", setOf("y"), setOf("a", "b"))
            publisher.current().leavingTargets shouldBe setOf("x", "y")
            publisher.updateLeavingTargets("c", emptySet(), setOf("b", "c"))
            publisher.current().leavingTargets shouldBe setOf("y")
            val target =
                """{"schemaVersion":1,"type":"service","address":"127.0.0.1:9","dataCentre":"a","service":"s"}"""
            publisher.update { it.withList(listOf(StoredRecord("target", "t1", 1, 1, target)), 1) }
            leavingTargets(listOf(ListedInstance("i-7", "127.0.0.1:9", "a", "leaving")), publisher.current()) shouldBe setOf("t1")
            leavingTargets(listOf(ListedInstance("t1", "127.0.0.1:8", "a", "live")), publisher.current()) shouldBe emptySet()
        }

        test("all members of a small fleet watch, and two in each data centre of a large one; two poll") {
            fun members(count: Int) = (1..count).map { Member("i$it", 1, "", "", "dc${it % 8}", Member.State.Active) }
            watchers(members(6)).size shouldBe 6
            watchers(members(340)).size shouldBe 16
            pollers(members(340)).size shouldBe 2
            watchers(members(340).map { it.copy(state = Member.State.Joining) }).size shouldBe 0
            (watchers(members(340)) + pollers(members(340))).size shouldBeGreaterThan 15
        }
    })

private suspend fun pullBetween(
    from: SnapshotPublisher,
    to: SnapshotPublisher,
    platform: Platform,
    random: Random,
) {
    val pulled =
        pull(to.state.knownRevision) { ask ->
            if (random.nextInt(4) == 0) {
                platform.put("w${random.nextInt(6)}")
                from.update { it.withChanges(platform.changesAfter(it.knownRevision), it.knownRevision, platform.revision) }
            }
            // Pages of a single record make changes between pages likely.
            val page = from.state.page(ask.after, ask.offset, emptySet())
            val cut = page.records.take(1)
            page.copy(records = cut, more = page.more || page.records.size > 1).takeIf { random.nextInt(20) != 0 }
        }
    // The receiver may get changes from elsewhere during the pull.
    if (random.nextInt(4) == 0) to.update { it.withChanges(platform.changesAfter(it.knownRevision), it.knownRevision, platform.revision) }
    if (pulled != null) to.update(pulled::applyTo)
}
