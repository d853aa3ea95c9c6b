/*
 * Tests single sequences of calls, writes and faults at one ledger range and at its next owner.
 */
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

/** Drives one range against a fault-free in-memory store, or with results that a test injects. */
private class RangeHarness(
    epoch: Long = 1,
    private val objects: MutableMap<String, Pair<Any, Long>> = mutableMapOf(),
    limits: LedgerLimits = LedgerLimits(commitIntervalMs = 0),
) {
    val range = LedgerRange("i$epoch", epoch, "w$epoch-", limits)
    val answers = mutableMapOf<Long, LedgerReply>()
    val runs = mutableListOf<LedgerEffect.Run>()
    val ops = mutableListOf<LedgerOp>()
    var wallMs = 1_000L

    fun store() = objects

    fun call(
        attempt: Long,
        key: String,
        hash: String = "h",
    ) = applyEffects(range.call(wallMs, attempt, key, hash))

    fun ran(
        key: String,
        result: RunResult,
    ) = applyEffects(range.ran(key, result))

    /** Carries out operations until none is left. If [fault] returns a result, it replaces that of the store, which is not called. */
    fun runPending(fault: (LedgerOp) -> LedgerOpResult? = { null }) {
        while (true) {
            val op = range.nextOp(wallMs, wallMs) ?: return
            ops += op
            applyEffects(range.completed(wallMs, wallMs, fault(op) ?: serve(op)))
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

    fun applyEffects(effects: List<LedgerEffect>) = effects.forEach {
        when (it) {
            is LedgerEffect.Answer -> answers[it.attempt] = it.reply
            is LedgerEffect.Run -> runs += it
        }
    }
}

private fun answered(size: Int = 2) = RunResult.Answered(201, "text/plain", ByteArray(size))

private fun RangeHarness.stored() = store().filterKeys { it != "head" }.values.flatMap { (it.first as LedgerSegment).propertyEntries }

class LedgerRangeSpec :
    FunSpec({
        test("a call runs after its intent is recorded, and repeats join or replay it") {
            val harness = RangeHarness().apply { runPending() }
            harness.call(1, "k")
            harness.runs.size shouldBe 0
            harness.runPending()
            harness.runs.map { it.attempt } shouldBe listOf(1L)
            harness.call(2, "k")
            harness.ran("k", answered())
            harness.answers[1].shouldBeInstanceOf<LedgerReply.Done>().replayed shouldBe false
            harness.answers[2].shouldBeInstanceOf<LedgerReply.Done>().replayed shouldBe true
            harness.runPending()
            val next = RangeHarness(2, harness.store()).apply { runPending() }
            next.call(3, "k")
            next.answers[3]
                .shouldBeInstanceOf<LedgerReply.Done>()
                .body!!
                .size shouldBe 2
        }

        test("an intent without an outcome answers unknown after a takeover and never runs") {
            val harness = RangeHarness().apply { runPending() }
            harness.call(1, "k")
            harness.runPending()
            val next = RangeHarness(2, harness.store()).apply { runPending() }
            next.call(2, "k")
            next.runPending()
            next.answers[2].shouldBeInstanceOf<LedgerReply.Unknown>()
            next.runs.size shouldBe 0
        }

        test("an answer above 16 KiB is passed on once and not kept") {
            val harness = RangeHarness().apply { runPending() }
            harness.call(1, "k")
            harness.runPending()
            harness.ran("k", answered(16 * 1024 + 1))
            harness.answers[1]
                .shouldBeInstanceOf<LedgerReply.Done>()
                .body!!
                .size shouldBe 16 * 1024 + 1
            harness.call(2, "k")
            harness.answers[2]
                .shouldBeInstanceOf<LedgerReply.Done>()
                .body
                .shouldBeNull()
        }

        test("a key used again with another body is a mismatch") {
            val harness = RangeHarness().apply { runPending() }
            harness.call(1, "k")
            harness.call(2, "k", "other")
            harness.answers[2] shouldBe LedgerReply.Mismatch
        }

        test("a write that took effect unseen answers not-run, is taken back, and a repeat runs") {
            val harness = RangeHarness().apply { runPending() }
            harness.call(1, "k")
            var reads = 0
            harness.runPending { op ->
                when {
                    op is LedgerOp.WriteSegment && reads == 0 -> LedgerOpResult.Uncertain.also { harness.serve(op) }
                    op is LedgerOp.ReadSegment && reads++ == 0 -> LedgerOpResult.Failed
                    else -> null
                }
            }
            harness.answers[1].shouldBeInstanceOf<LedgerReply.NotRun>()
            harness.stored() shouldBe emptyList()
            harness.runs.size shouldBe 0
            harness.call(2, "k")
            harness.runPending()
            harness.runs.map { it.attempt } shouldBe listOf(2L)
        }

        test("a key called again while its not-run record is being written waits for its own intent") {
            val harness = RangeHarness().apply { runPending() }
            harness.call(1, "k")
            harness.runPending()
            harness.ran("k", RunResult.NotSent("no replica"))
            val op = harness.range.nextOp(harness.wallMs, harness.wallMs)!!
            harness.call(2, "k")
            harness.applyEffects(harness.range.completed(harness.wallMs, harness.wallMs, harness.serve(op)))
            harness.runs.map { it.attempt } shouldBe listOf(1L)
            harness.runPending()
            harness.runs.map { it.attempt } shouldBe listOf(1L, 2L)
            harness.stored().single().state shouldBe LedgerEntry.State.Intent
        }

        test("a paused old owner conflicts and answers not-run") {
            val old = RangeHarness().apply { runPending() }
            RangeHarness(2, old.store()).runPending()
            old.call(1, "k")
            old.runPending()
            old.answers[1].shouldBeInstanceOf<LedgerReply.NotRun>()
            old.range.isFenced shouldBe true
            old.runs.size shouldBe 0
        }

        test("segments roll at 400 entries and stay below 256 KiB and one entry") {
            val harness = RangeHarness().apply { runPending() }
            (1L..1_000L).forEach { harness.call(it, "k$it") }
            harness.runPending()
            harness
                .store()
                .filterKeys { it != "head" }
                .values
                .map { (it.first as LedgerSegment).propertyEntries.size } shouldBe
                listOf(400, 400, 200)
            harness.runs.size shouldBe 1_000
            (1L..100L).forEach { harness.ran("k$it", answered(16 * 1024)) }
            harness.runPending()
            val sizes =
                harness.store().filterKeys { it != "head" }.values.map { s ->
                    (s.first as LedgerSegment).propertyEntries.sumOf { it.estimatedBytes() }
                }
            sizes.max() shouldBeLessThan 256 * 1024 + 23 * 1024
        }

        test("segments whose keys are older than the retention are removed") {
            val harness =
                RangeHarness(
                    limits = LedgerLimits(commitIntervalMs = 0, segmentEntries = 2, retentionMs = 10_000),
                ).apply { runPending() }
            (1L..2L).forEach { harness.call(it, "k$it") }
            harness.runPending()
            (1L..2L).forEach { harness.ran("k$it", answered()) }
            harness.runPending()
            harness.wallMs += 20_000
            (3L..7L).forEach { harness.call(it, "k$it") }
            harness.runPending()
            harness.ops shouldContain LedgerOp.DeleteSegment(1)
            harness.call(8, "k1")
            harness.runPending()
            harness.runs.last().attempt shouldBe 8L
        }
    })
