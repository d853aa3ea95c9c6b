/*
 * Simulates owners that contend for one ledger range under faults, and checks that no key is executed twice.
 */
package io.skylarkstile.core.ledger

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.skylarkstile.schema.generated.LedgerHead
import io.skylarkstile.schema.generated.LedgerSegment
import java.util.PriorityQueue
import kotlin.random.Random

/** Holds the objects of one range with their versions. A write applies if its condition holds when it arrives. */
private class VersionedObjects {
    private val objects = HashMap<String, Pair<Any, Long>>()

    fun read(name: String): Pair<Any?, Long> = objects[name] ?: (null to 0L)

    fun write(
        name: String,
        value: Any,
        ifVersion: Long,
    ): Long? {
        val version = objects[name]?.second ?: 0
        if (version != ifVersion) return null
        objects[name] = value to version + 1
        return version + 1
    }
}

/**
 * Simulates successive and simultaneous owners of one range, with lost, late and refused writes, outages, pauses and crashes. If
 * [conditional] is false, writes ignore their condition.
 */
private class ContendingOwners(
    seed: Long,
    private val conditional: Boolean = true,
) {
    private inner class Owner(
        val epoch: Long,
    ) {
        val range = LedgerRange("i$epoch", epoch, "w$epoch-", LedgerLimits(segmentEntries = 4, segmentBytes = 4_000))
        var crashed = false
        val executions = HashMap<String, Int>()
    }

    private val random = Random(seed)
    private val objects = VersionedObjects()
    private var time = 0L
    private var order = 0L
    private val events = PriorityQueue<Triple<Long, Long, () -> Unit>>(compareBy({ it.first }, { it.second }))
    private val owners = mutableListOf<Owner>()
    private var attempts = 0L
    private val keyOf = HashMap<Long, String>()
    private val ran = HashSet<Long>()

    /** The owner that received an attempt, and how often that owner had run its key before. */
    private val ownerAndPriorRuns = HashMap<Long, Pair<Owner, Int>>()
    private var outage = false
    val executions = HashMap<String, Int>()
    val replies = HashMap<Long, LedgerReply>()
    val violations = mutableListOf<String>()

    private fun schedule(
        ms: Long,
        run: () -> Unit,
    ) {
        events += Triple(time + ms, order++, run)
    }

    fun run(untilMs: Long) {
        schedule(0) { takeOver() }
        schedule(1) { submitCall() }
        schedule(1) { toggleOutage() }
        while (events.isNotEmpty() && events.peek().first <= untilMs) events.poll().also { time = it.first }.third()
    }

    private fun toggleOutage() {
        outage = !outage && random.nextInt(3) == 0
        schedule(random.nextLong(50, 1_500)) { toggleOutage() }
    }

    /** Starts a new owner. The previous ones may go on as if they had been paused or did not know of it. */
    private fun takeOver() {
        if (random.nextBoolean()) owners.lastOrNull()?.crashed = true
        owners += Owner(owners.size + 1L).also { drive(it) }
        schedule(random.nextLong(100, 8_000)) { takeOver() }
    }

    private fun drive(owner: Owner) {
        if (owner.crashed) return
        owner.range.nextOp(time, time)?.let { perform(owner, it) }
        val pause = if (random.nextInt(100) == 0) random.nextLong(500, 4_000) else 5L
        schedule(pause) { drive(owner) }
    }

    private fun perform(
        owner: Owner,
        op: LedgerOp,
    ) {
        val out = random.nextLong(1, 20)
        schedule(out) {
            val result = serve(op)
            schedule(random.nextLong(1, 20)) { if (!owner.crashed) apply(owner, owner.range.completed(time, time, result)) }
        }
    }

    private fun serve(op: LedgerOp): LedgerOpResult = when (op) {
        LedgerOp.ReadHead -> read("head") { value, version -> LedgerOpResult.Head(value as LedgerHead?, version) }
        is LedgerOp.ReadSegment -> read("${op.number}") { value, version -> LedgerOpResult.Segment(value as LedgerSegment?, version) }
        is LedgerOp.WriteHead -> write("head", op.head, op.ifVersion)
        is LedgerOp.WriteSegment -> write("${op.number}", op.segment, op.ifVersion)
        is LedgerOp.DeleteSegment -> LedgerOpResult.Failed
    }

    private fun read(
        name: String,
        result: (Any?, Long) -> LedgerOpResult,
    ): LedgerOpResult = if (outage ||
        random.nextInt(20) == 0
    ) {
        LedgerOpResult.Failed
    } else {
        objects.read(name).let { result(it.first, it.second) }
    }

    private fun write(
        name: String,
        value: Any,
        ifVersion: Long,
    ): LedgerOpResult {
        val condition = { if (conditional) ifVersion else objects.read(name).second }
        if (outage && random.nextBoolean()) return LedgerOpResult.Failed
        return when (random.nextInt(16)) {
            0 -> LedgerOpResult.Uncertain
            1 -> LedgerOpResult.Uncertain.also { objects.write(name, value, condition()) }
            2 -> LedgerOpResult.Uncertain.also { schedule(random.nextLong(1, 500)) { objects.write(name, value, condition()) } }
            3 -> LedgerOpResult.Failed
            else -> objects.write(name, value, condition())?.let { LedgerOpResult.Written(it) } ?: LedgerOpResult.Conflict
        }
    }

    /** Sends a call with one of a few keys to one of the two newest live owners, so that keys are repeated at different owners. */
    private fun submitCall() {
        val key = "k${random.nextInt(maxOf(1, (time / 200).toInt()) + 5)}"
        val owner = owners.filter { !it.crashed }.takeLast(2).randomOrNull(random)
        val attempt = attempts++
        keyOf[attempt] = key
        if (owner != null) {
            ownerAndPriorRuns[attempt] = owner to (owner.executions[key] ?: 0)
            apply(owner, owner.range.call(time, attempt, key, "hash"))
            schedule(random.nextLong(100, 2_000)) {
                if (!owner.crashed) owner.range.giveUpOrNull(attempt, key)?.let { answer(attempt, it) }
            }
        }
        schedule(random.nextLong(1, 40)) { submitCall() }
    }

    private fun apply(
        owner: Owner,
        effects: List<LedgerEffect>,
    ): Unit = effects.forEach { effect ->
        when (effect) {
            is LedgerEffect.Answer -> answer(effect.attempt, effect.reply)
            is LedgerEffect.Run -> schedule(random.nextLong(0, 300)) { if (!owner.crashed) execute(owner, effect) }
        }
    }

    private fun execute(
        owner: Owner,
        run: LedgerEffect.Run,
    ) {
        if (random.nextInt(5) == 0) return apply(owner, owner.range.ran(run.key, RunResult.NotSent("no replica")))
        executions.merge(run.key, 1, Int::plus)
        owner.executions.merge(run.key, 1, Int::plus)
        ran += run.attempt
        if (random.nextInt(20) == 0) owner.crashed = true
        val body = ByteArray(random.nextInt(600))
        val result = if (random.nextInt(6) == 0) RunResult.NoAnswer("silent") else RunResult.Answered(200, "text/plain", body)
        schedule(random.nextLong(0, 200)) { if (!owner.crashed) apply(owner, owner.range.ran(run.key, result)) }
    }

    private fun answer(
        attempt: Long,
        reply: LedgerReply,
    ) {
        val key = keyOf.getValue(attempt)
        if (replies.put(attempt, reply) != null) violations += "two answers to attempt $attempt"
        if (reply !is LedgerReply.NotRun) return
        if (attempt in ran) violations += "attempt $attempt ran and was answered not-run"
        // Meanwhile another owner may run the key for another attempt; this attempt can only have joined runs of its own owner.
        val (owner, before) = ownerAndPriorRuns.getValue(attempt)
        if ((owner.executions[key] ?: 0) != before) violations += "attempt $attempt joined a run of key $key and was answered not-run"
    }

    fun checkRunsAfterNotRun() = replies.filter { it.value is LedgerReply.NotRun && it.key in ran }.forEach {
        violations +=
            "attempt ${it.key} ran after not-run"
    }
}

/** Guards against a second execution of a key, and against `not-run` answers to attempts that were executed (promises 8 and 9). */
class LedgerRangePropertySpec :
    FunSpec({
        test("contending owners run each key at most once and answer not-run only when the attempt did not run") {
            var executed = 0
            var notRun = 0
            var replayed = 0
            checkAll(PropTestConfig(seed = 20261207, iterations = 400), Arb.long(1, 1_000_000_000)) { seed ->
                val owners = ContendingOwners(seed)
                owners.run(30_000)
                owners.checkRunsAfterNotRun()
                owners.executions.filter { it.value > 1 }.shouldBeEmpty()
                owners.violations shouldBe emptyList<String>()
                executed += owners.executions.size
                notRun += owners.replies.values.count { it is LedgerReply.NotRun }
                replayed += owners.replies.values.count { it is LedgerReply.Done && it.replayed }
            }
            println("ledger: executed=$executed not-run=$notRun replayed=$replayed")
            listOf(executed, notRun, replayed).forEach { it shouldBeGreaterThan 1_000 }
        }

        test("without conditional writes keys run twice, so the property would notice a missing fence") {
            val repeatedKeys =
                (1L..20L).sumOf { seed ->
                    val owners = ContendingOwners(seed, conditional = false)
                    owners.run(30_000)
                    owners.executions.count { it.value > 1 }
                }
            repeatedKeys shouldBeGreaterThan 0
            (1L..20L).sumOf { seed ->
                ContendingOwners(seed).also { it.run(30_000) }.executions.count { it.value > 1 }
            } shouldBeLessThanOrEqualTo
                0
        }
    })
