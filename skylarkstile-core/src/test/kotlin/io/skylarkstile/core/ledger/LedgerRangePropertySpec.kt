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

/** Holds one range's objects with versions; writes apply under their condition whenever they arrive. */
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

/** Several owners in turn and at once on one range, with lost, late and refused writes, outages, pauses and crashes. */
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

    /** The owner of an attempt and how often that owner had run its key before. */
    private val since = HashMap<Long, Pair<Owner, Int>>()
    private var outage = false
    val executions = HashMap<String, Int>()
    val replies = HashMap<Long, LedgerReply>()
    val faults = mutableListOf<String>()

    private fun later(
        ms: Long,
        run: () -> Unit,
    ) {
        events += Triple(time + ms, order++, run)
    }

    fun run(untilMs: Long) {
        later(0) { takeOver() }
        later(1) { offer() }
        later(1) { toggleOutage() }
        while (events.isNotEmpty() && events.peek().first <= untilMs) events.poll().also { time = it.first }.third()
    }

    private fun toggleOutage() {
        outage = !outage && random.nextInt(3) == 0
        later(random.nextLong(50, 1_500)) { toggleOutage() }
    }

    /** Starts a new owner while older ones may go on, as if they were paused or unaware. */
    private fun takeOver() {
        if (random.nextBoolean()) owners.lastOrNull()?.crashed = true
        owners += Owner(owners.size + 1L).also { drive(it) }
        later(random.nextLong(100, 8_000)) { takeOver() }
    }

    private fun drive(owner: Owner) {
        if (owner.crashed) return
        owner.range.nextOp(time, time)?.let { perform(owner, it) }
        val pause = if (random.nextInt(100) == 0) random.nextLong(500, 4_000) else 5L
        later(pause) { drive(owner) }
    }

    private fun perform(
        owner: Owner,
        op: LedgerOp,
    ) {
        val out = random.nextLong(1, 20)
        later(out) {
            val result = serve(op)
            later(random.nextLong(1, 20)) { if (!owner.crashed) apply(owner, owner.range.completed(time, time, result)) }
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
            2 -> LedgerOpResult.Uncertain.also { later(random.nextLong(1, 500)) { objects.write(name, value, condition()) } }
            3 -> LedgerOpResult.Failed
            else -> objects.write(name, value, condition())?.let { LedgerOpResult.Written(it) } ?: LedgerOpResult.Conflict
        }
    }

    /** Offers a call with one of few keys to any owner that is not crashed, so that keys repeat through other owners. */
    private fun offer() {
        val key = "k${random.nextInt(maxOf(1, (time / 200).toInt()) + 5)}"
        val owner = owners.filter { !it.crashed }.takeLast(2).randomOrNull(random)
        val attempt = attempts++
        keyOf[attempt] = key
        if (owner != null) {
            since[attempt] = owner to (owner.executions[key] ?: 0)
            apply(owner, owner.range.call(time, attempt, key, "hash"))
            later(random.nextLong(100, 2_000)) {
                if (!owner.crashed) owner.range.giveUpOrNull(attempt, key)?.let { answer(attempt, it) }
            }
        }
        later(random.nextLong(1, 40)) { offer() }
    }

    private fun apply(
        owner: Owner,
        effects: List<LedgerEffect>,
    ): Unit = effects.forEach { effect ->
        when (effect) {
            is LedgerEffect.Answer -> answer(effect.attempt, effect.reply)
            is LedgerEffect.Run -> later(random.nextLong(0, 300)) { if (!owner.crashed) execute(owner, effect) }
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
        later(random.nextLong(0, 200)) { if (!owner.crashed) apply(owner, owner.range.ran(run.key, result)) }
    }

    private fun answer(
        attempt: Long,
        reply: LedgerReply,
    ) {
        val key = keyOf.getValue(attempt)
        if (replies.put(attempt, reply) != null) faults += "two answers to attempt $attempt"
        if (reply !is LedgerReply.NotRun) return
        if (attempt in ran) faults += "attempt $attempt ran and was answered not-run"
        // Another owner may run the key for another attempt meanwhile; this attempt joined only runs of its own owner.
        val (owner, before) = since.getValue(attempt)
        if ((owner.executions[key] ?: 0) != before) faults += "attempt $attempt joined a run of key $key and was answered not-run"
    }

    fun checkLate() = replies.filter { it.value is LedgerReply.NotRun && it.key in ran }.forEach {
        faults +=
            "attempt ${it.key} ran after not-run"
    }
}

/** Guards against a second execution of a key and against untrue `not-run` answers (promises 8 and 9). */
class LedgerRangePropertySpec :
    FunSpec({
        test("contending owners run each key at most once and answer not-run only when the attempt did not run") {
            var executed = 0
            var notRun = 0
            var replayed = 0
            checkAll(PropTestConfig(seed = 20261207, iterations = 400), Arb.long(1, 1_000_000_000)) { seed ->
                val owners = ContendingOwners(seed)
                owners.run(30_000)
                owners.checkLate()
                owners.executions.filter { it.value > 1 }.shouldBeEmpty()
                owners.faults shouldBe emptyList<String>()
                executed += owners.executions.size
                notRun += owners.replies.values.count { it is LedgerReply.NotRun }
                replayed += owners.replies.values.count { it is LedgerReply.Done && it.replayed }
            }
            println("ledger: executed=$executed not-run=$notRun replayed=$replayed")
            listOf(executed, notRun, replayed).forEach { it shouldBeGreaterThan 1_000 }
        }

        test("without conditional writes keys run twice, so the property would notice a missing fence") {
            val doubled =
                (1L..20L).sumOf { seed ->
                    val owners = ContendingOwners(seed, conditional = false)
                    owners.run(30_000)
                    owners.executions.count { it.value > 1 }
                }
            doubled shouldBeGreaterThan 0
            (1L..20L).sumOf { seed ->
                ContendingOwners(seed).also { it.run(30_000) }.executions.count { it.value > 1 }
            } shouldBeLessThanOrEqualTo
                0
        }
    })
