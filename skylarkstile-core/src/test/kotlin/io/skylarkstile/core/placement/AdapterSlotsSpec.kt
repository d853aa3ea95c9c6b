/*
 * Guards against unloading an adapter while requests run on it, whichever instance started them (promise 2).
 */
package io.skylarkstile.core.placement

import io.kotest.assertions.withClue
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val SLOTS = 4
private const val MAX_LAG_MS = 300L

/** Simulates the engine: counts all running streams by handle, including those unknown to the owner. */
private class SimulatedEngine(
    private val random: Random,
) {
    val streams = HashMap<String, Int>()
    val untrackedStreams = ArrayList<String>()
    private val history = ArrayDeque<Pair<Long, Map<String, Int>>>()

    fun start(handle: String) = streams.merge(handle, 1, Int::plus)

    fun end(handle: String) = streams.computeIfPresent(handle) { _, n -> n - 1 }

    fun recordHistory(now: Long) {
        history.addLast(now to streams.toMap())
        while (history.size > 1 && history.first().first < now - MAX_LAG_MS) history.removeFirst()
    }

    /** Returns a report that lags by a random time; its stated production time is not later than the actual one. */
    fun report(): SlotReport = history[random.nextInt(history.size)].let { (at, running) -> SlotReport(running, at) }
}

private class Scenario(
    seed: Long,
) {
    private val random = Random(seed)
    private val engine = SimulatedEngine(random)
    private val fencing = random.nextBoolean()
    private val foreignPins = HashMap<String, Int>()
    private val popularity = Popularity()
    private val running = ArrayList<String>()
    private val loading = ArrayList<String>()
    private val lateOrders = ArrayList<String>()
    private var now = 1_000L
    private val slots: AdapterSlots
    var unloads = 0

    init {
        listOf("a0@1", "a1@1").forEach { model ->
            val handle = if (fencing) model else "$model#3"
            engine.streams[handle] = 0
            repeat(random.nextInt(3)) {
                engine.start(handle)
                if (random.nextBoolean()) foreignPins.merge(handle, 1, Int::plus) else engine.untrackedStreams.add(handle)
            }
        }
        engine.recordHistory(now)
        slots = AdapterSlots(epoch = 7, fencing, acquiredAt = now)
    }

    fun step() {
        now += random.nextLong(0, 120)
        when (random.nextInt(9)) {
            0 -> load("a${random.nextInt(7)}@1")
            1 -> loading.removeFirstOrNull()?.let { endLoad(it) }
            2, 3 -> start("a${random.nextInt(7)}@1")
            4 -> if (running.isNotEmpty()) end(running.removeAt(random.nextInt(running.size)))
            5 -> endUnknownOrForeign()
            6 -> slots.report(engine.report(), now)
            7 -> evict()
            8 -> lateUnload()
        }
        engine.recordHistory(now)
    }

    private fun load(model: String) {
        if (slots.occupied >= SLOTS || slots.isLoaded(model) || slots.isChanging(model)) return
        loading.add(slots.beginLoad(model, now))
    }

    private fun endLoad(handle: String) {
        engine.streams.putIfAbsent(handle, 0)
        slots.endLoad(handle, if (random.nextInt(5) == 0) null else true, now)
    }

    private fun start(model: String) {
        popularity.record(model, now)
        val handle = slots.pin(model, now) ?: return
        engine.start(handle)
        running.add(handle)
    }

    private fun end(handle: String) {
        val complete = random.nextInt(4) != 0
        slots.unpin(handle, complete, now)
        if (complete) engine.end(handle) else engine.untrackedStreams.add(handle)
    }

    private fun endUnknownOrForeign() {
        if (engine.untrackedStreams.isNotEmpty()) engine.end(engine.untrackedStreams.removeAt(random.nextInt(engine.untrackedStreams.size)))
        foreignPins.keys.randomOrNull(random)?.let { handle ->
            engine.end(handle)
            foreignPins.compute(handle) { _, n -> (n!! - 1).takeIf { it > 0 } }
        }
    }

    private fun evict() {
        val victim = chooseVictim(slots.idle(foreignPins, popularity, now) { false }, 250, random.nextLong(500)).handleOrNull ?: return
        if (!slots.beginUnload(victim, foreignPins, now)) return
        checkUnused(victim)
        unloads++
        when (random.nextInt(4)) {
            0 -> slots.endUnload(victim, null, now).also { lateOrders.add(victim) }
            1 -> slots.endUnload(victim, false, now)
            else -> slots.endUnload(victim, true, now).also { engine.streams.remove(victim) }
        }
    }

    /** Delivers an unload order whose outcome was unknown; it may reach the engine at any later time. */
    private fun lateUnload() {
        lateOrders.removeFirstOrNull()?.let { checkUnused(it) }
    }

    private fun checkUnused(victim: String) = withClue({ "unload of $victim at $now, fencing=$fencing, slots=${slots.dump()}" }) {
        (engine.streams[victim] ?: 0) shouldBe 0
    }
}

@OptIn(ExperimentalKotest::class)
class AdapterSlotsSpec :
    FunSpec({
        test("no handle with a stream on it is ever unloaded, with lagging reports, former owners and broken requests") {
            var unloads = 0
            checkAll(PropTestConfig(seed = 20_261_204, iterations = 2_000), Arb.long()) { seed ->
                val scenario = Scenario(seed)
                repeat(300) { scenario.step() }
                unloads += scenario.unloads
            }
            println("AdapterSlotsSpec: $unloads unloads in 2000 scenarios")
            (unloads > 2_000) shouldBe true
        }

        test("after an unload with an unknown outcome the handle is not reused, so a late unload does not affect a handle in use") {
            val slots = AdapterSlots(epoch = 7, fencing = true, acquiredAt = 0)
            slots.endLoad(slots.beginLoad("a@1", 10), true, 20)
            slots.report(SlotReport(mapOf("a@1" to 0), 25), 28)
            slots.beginUnload("a@1", emptyMap(), 30) shouldBe true
            slots.endUnload("a@1", null, 40)
            slots.report(SlotReport(mapOf("a@1" to 0), 50), 60)
            slots.isLoaded("a@1") shouldBe false
            slots.beginLoad("a@1", 70) shouldBe "a@1#7.1"
        }

        test("a handle of a former epoch is not used without fencing and leaves only after a report of 0 produced after the takeover") {
            val slots = AdapterSlots(epoch = 7, fencing = false, acquiredAt = 100)
            slots.report(SlotReport(mapOf("a@1#6" to 0), 90), 110)
            slots.isLoaded("a@1") shouldBe false
            slots.idle(emptyMap(), Popularity(), 110) { false }.shouldBeEmpty()
            slots.report(SlotReport(mapOf("a@1#6" to 0), 120), 130)
            slots.idle(mapOf("a@1#6" to 1), Popularity(), 130) { false }.shouldBeEmpty()
            slots.idle(emptyMap(), Popularity(), 130) { false }.map { it.handle } shouldContainExactly listOf("a@1#6")
        }

        test("a report older than an unload does not bring the handle back") {
            val slots = AdapterSlots(epoch = 7, fencing = true, acquiredAt = 0)
            slots.endLoad(slots.beginLoad("a@1", 10), true, 20)
            slots.report(SlotReport(mapOf("a@1" to 0), 25), 28)
            slots.beginUnload("a@1", emptyMap(), 30)
            slots.endUnload("a@1", true, 40)
            slots.report(SlotReport(mapOf("a@1" to 0), 35), 50)
            slots.occupied shouldBe 0
        }
    })
