package io.skylarkstile.core.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.schema.generated.LedgerEntry
import io.skylarkstile.schema.generated.LedgerHead
import io.skylarkstile.schema.generated.LedgerSegment

/** Drives one range against a store without faults, or with the results that a test gives. */
private class Desk(
    epoch: Long = 1,
    private val objects: MutableMap<String, Pair<Any, Long>> = mutableMapOf(),
    limits: LedgerLimits = LedgerLimits(commitIntervalMs = 0),
) {
    val range = LedgerRange("i$epoch", epoch, "w$epoch-", limits)
    val answers = mutableMapOf<Long, LedgerReply>()
    val runs = mutableListOf<LedgerEffect.Run>()
    val ops = mutableListOf<LedgerOp>()
    var wall = 1_000L

    fun store() = objects

    fun call(
        attempt: Long,
        key: String,
        hash: String = "h",
    ) = take(range.call(wall, attempt, key, hash))

    fun ran(
        key: String,
        result: RunResult,
    ) = take(range.ran(key, result))

    /** Carries out operations until none is left; [fault] may replace a result, [applied] tells whether the write takes effect. */
    fun settle(fault: (LedgerOp) -> LedgerOpResult? = { null }) {
        while (true) {
            val op = range.nextOp(wall, wall) ?: return
            ops += op
            take(range.completed(wall, wall, fault(op) ?: serve(op)))
        }
    }

    fun serve(op: LedgerOp): LedgerOpResult = when (op) {
        LedgerOp.ReadHead -> objects["head"].let { LedgerOpResult.Head(it?.first as LedgerHead?, it?.second ?: 0) }
        is LedgerOp.ReadSegment -> objects["${op.number}"].let { LedgerOpResult.Segment(it?.first as LedgerSegment?, it?.second ?: 0) }
        is LedgerOp.WriteHead -> write("head", op.head, op.ifVersion)
        is LedgerOp.WriteSegment -> write("${op.number}", op.segment, op.ifVersion)
        is LedgerOp.DeleteSegment -> LedgerOpResult.Written(0).also { objects.remove("${op.number}") }
    }

    private fun write(
        name: String,
        value: Any,
        ifVersion: Long,
    ): LedgerOpResult {
        val version = objects[name]?.second ?: 0
        if (version != ifVersion) return LedgerOpResult.Conflict
        objects[name] = value to version + 1
        return LedgerOpResult.Written(version + 1)
    }

    fun take(effects: List<LedgerEffect>) = effects.forEach {
        when (it) {
            is LedgerEffect.Answer -> answers[it.attempt] = it.reply
            is LedgerEffect.Run -> runs += it
        }
    }
}

private fun answered(size: Int = 2) = RunResult.Answered(201, "text/plain", ByteArray(size))

private fun Desk.stored() = store().filterKeys { it != "head" }.values.flatMap { (it.first as LedgerSegment).propertyEntries }

class LedgerRangeSpec :
    FunSpec({
        test("a call runs after its intent is recorded, and repeats join or replay it") {
            val desk = Desk().apply { settle() }
            desk.call(1, "k")
            desk.runs.size shouldBe 0
            desk.settle()
            desk.runs.map { it.attempt } shouldBe listOf(1L)
            desk.call(2, "k")
            desk.ran("k", answered())
            desk.answers[1].shouldBeInstanceOf<LedgerReply.Done>().replayed shouldBe false
            desk.answers[2].shouldBeInstanceOf<LedgerReply.Done>().replayed shouldBe true
            desk.settle()
            val next = Desk(2, desk.store()).apply { settle() }
            next.call(3, "k")
            next.answers[3]
                .shouldBeInstanceOf<LedgerReply.Done>()
                .body!!
                .size shouldBe 2
        }

        test("an intent without an outcome answers unknown after a takeover and never runs") {
            val desk = Desk().apply { settle() }
            desk.call(1, "k")
            desk.settle()
            val next = Desk(2, desk.store()).apply { settle() }
            next.call(2, "k")
            next.settle()
            next.answers[2].shouldBeInstanceOf<LedgerReply.Unknown>()
            next.runs.size shouldBe 0
        }

        test("an answer above 16 KiB is passed on once and not kept") {
            val desk = Desk().apply { settle() }
            desk.call(1, "k")
            desk.settle()
            desk.ran("k", answered(16 * 1024 + 1))
            desk.answers[1]
                .shouldBeInstanceOf<LedgerReply.Done>()
                .body!!
                .size shouldBe 16 * 1024 + 1
            desk.call(2, "k")
            desk.answers[2]
                .shouldBeInstanceOf<LedgerReply.Done>()
                .body
                .shouldBeNull()
        }

        test("a key used again with another body is a mismatch") {
            val desk = Desk().apply { settle() }
            desk.call(1, "k")
            desk.call(2, "k", "other")
            desk.answers[2] shouldBe LedgerReply.Mismatch
        }

        test("a write that took effect unseen answers not-run, is taken back, and a repeat runs") {
            val desk = Desk().apply { settle() }
            desk.call(1, "k")
            var reads = 0
            desk.settle { op ->
                when {
                    op is LedgerOp.WriteSegment && reads == 0 -> LedgerOpResult.Uncertain.also { desk.serve(op) }
                    op is LedgerOp.ReadSegment && reads++ == 0 -> LedgerOpResult.Failed
                    else -> null
                }
            }
            desk.answers[1].shouldBeInstanceOf<LedgerReply.NotRun>()
            desk.stored() shouldBe emptyList()
            desk.runs.size shouldBe 0
            desk.call(2, "k")
            desk.settle()
            desk.runs.map { it.attempt } shouldBe listOf(2L)
        }

        test("a key called again while its not-run record is being written waits for its own intent") {
            val desk = Desk().apply { settle() }
            desk.call(1, "k")
            desk.settle()
            desk.ran("k", RunResult.NotSent("no replica"))
            val op = desk.range.nextOp(desk.wall, desk.wall)!!
            desk.call(2, "k")
            desk.take(desk.range.completed(desk.wall, desk.wall, desk.serve(op)))
            desk.runs.map { it.attempt } shouldBe listOf(1L)
            desk.settle()
            desk.runs.map { it.attempt } shouldBe listOf(1L, 2L)
            desk.stored().single().state shouldBe LedgerEntry.State.Intent
        }

        test("a paused old owner conflicts and answers not-run") {
            val old = Desk().apply { settle() }
            Desk(2, old.store()).settle()
            old.call(1, "k")
            old.settle()
            old.answers[1].shouldBeInstanceOf<LedgerReply.NotRun>()
            old.range.isFenced shouldBe true
            old.runs.size shouldBe 0
        }

        test("segments roll at 400 entries and stay below 256 KiB and one entry") {
            val desk = Desk().apply { settle() }
            (1L..1_000L).forEach { desk.call(it, "k$it") }
            desk.settle()
            desk
                .store()
                .filterKeys { it != "head" }
                .values
                .map { (it.first as LedgerSegment).propertyEntries.size } shouldBe
                listOf(400, 400, 200)
            desk.runs.size shouldBe 1_000
            (1L..100L).forEach { desk.ran("k$it", answered(16 * 1024)) }
            desk.settle()
            val sizes =
                desk.store().filterKeys { it != "head" }.values.map { s ->
                    (s.first as LedgerSegment).propertyEntries.sumOf { it.estimatedBytes() }
                }
            sizes.max() shouldBeLessThan 256 * 1024 + 23 * 1024
        }

        test("segments whose keys are older than the retention are removed") {
            val desk = Desk(limits = LedgerLimits(commitIntervalMs = 0, segmentEntries = 2, retentionMs = 10_000)).apply { settle() }
            (1L..2L).forEach { desk.call(it, "k$it") }
            desk.settle()
            (1L..2L).forEach { desk.ran("k$it", answered()) }
            desk.settle()
            desk.wall += 20_000
            (3L..7L).forEach { desk.call(it, "k$it") }
            desk.settle()
            desk.ops shouldContain LedgerOp.DeleteSegment(1)
            desk.call(8, "k1")
            desk.settle()
            desk.runs.last().attempt shouldBe 8L
        }
    })
