/*
 * Guards against calls to an evacuated data centre after the bound, whatever an instance knew of the store before, against targets that all
 * leave or return at once, and against calls that wait for targets which an evacuation keeps from them.
 */
package io.skylarkstile.gateway.target

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.skylarkstile.gateway.adapter
import io.skylarkstile.gateway.adapter.AdapterPlacement
import io.skylarkstile.gateway.adapter.Placement
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.gateway.model.ColdStart
import io.skylarkstile.gateway.model.Service
import kotlin.random.Random

private const val BOUND_MS = 5_000L

private fun table(
    inside: Int,
    outside: Int,
) = TargetTable().apply {
    repeat(inside) { put(entry("in-$it", dataCentre = "dc-1")) }
    repeat(outside) { put(entry("out-$it", dataCentre = "dc-2")) }
    all.forEach { it.orderableUntil = Long.MAX_VALUE }
}

private fun TargetTable.open(dataCentre: String) = ready("models").filter { it.entry.dataCentre == dataCentre }

class EvacuationsSpec :
    FunSpec({
        test("no target takes calls later than the bound after the evacuation, however late an instance reads it") {
            forEachSeed(200) { seed ->
                val random = Random(seed)
                val targets = table(inside = 20, outside = 5)
                // The store accepts the evacuation at time 0, and the last view without it was read before that.
                val absentAt = -random.nextLong(3_000)
                val readAt = random.nextLong(BOUND_MS)
                targets.evacuate("dc-1", readAt, absentAt, BOUND_MS)
                var lastOpenAt = if (targets.open("dc-1").isEmpty()) 0L else readAt
                for (now in readAt..readAt + BOUND_MS step 50) {
                    targets.tick(now)
                    if (targets.open("dc-1").isNotEmpty()) lastOpenAt = now
                }
                // What is sent now arrives a little later, and the time between two ticks of a large fleet is 125 ms.
                if (readAt < BOUND_MS * 0.7) lastOpenAt shouldBeLessThanOrEqual BOUND_MS - 500
                targets.open("dc-2").size shouldBeInRange 5..5
            }
        }

        test("targets stop taking calls one after the other while the view is current, and at once when it isn't known") {
            val targets = table(inside = 40, outside = 1)
            targets.evacuate("dc-1", 1_000, 900, BOUND_MS)
            targets.tick(1_750)
            targets.open("dc-1").size shouldBeInRange 8..32
            targets.tick(2_500)
            targets.open("dc-1").shouldBeEmpty()
            val restarted = table(inside = 40, outside = 1)
            restarted.evacuate("dc-1", 1_000, null, BOUND_MS)
            restarted.open("dc-1").shouldBeEmpty()
        }

        test("a target that is new in an evacuated data centre takes no calls, and those of an unknown one change nothing") {
            val targets = table(inside = 1, outside = 1)
            targets.evacuate("dc-1", 0, 0, BOUND_MS)
            targets.put(entry("in-new", dataCentre = "dc-1")).acceptsCalls.shouldBeFalse()
            targets.evacuate("dc-9", 0, 0, BOUND_MS)
            targets.open("dc-2").map { it.id } shouldContainExactlyInAnyOrder listOf("out-0")
        }

        test("targets return one after the other, and count as cold until they say something else") {
            val targets = table(inside = 40, outside = 1)
            targets.all.forEach { it.apply(Service("models", 100, null, coldStart = ColdStart(18.0, 3_000)), 0) }
            targets.evacuate("dc-1", 0, null, BOUND_MS)
            targets.endEvacuation("dc-1", 10_000).shouldBeTrue()
            targets.tick(10_500)
            targets.open("dc-1").size shouldBeInRange 8..32
            targets.tick(11_100)
            targets.open("dc-1").size shouldBeInRange 40..40
            targets.open("dc-1").all { it.isLimited(11_100) }.shouldBeTrue()
            targets.open("dc-1").any { it.isLimited(13_100) }.shouldBeFalse()
            targets.open("dc-2").any { it.isLimited(11_100) }.shouldBeFalse()
        }

        test("an evacuation that is withdrawn and set again at once closes the targets again") {
            val targets = table(inside = 10, outside = 1)
            targets.evacuate("dc-1", 0, null, BOUND_MS)
            targets.endEvacuation("dc-1", 100)
            targets.evacuate("dc-1", 150, 140, BOUND_MS)
            targets.tick(1_700)
            targets.open("dc-1").shouldBeEmpty()
        }

        test("evacuations of all data centres leave a service without targets, which one without ready targets isn't") {
            val targets = table(inside = 2, outside = 2)
            targets.evacuate("dc-1", 0, null, BOUND_MS)
            targets.isEvacuated("models").shouldBeFalse()
            targets.evacuate("dc-2", 0, null, BOUND_MS)
            targets.isEvacuated("models").shouldBeTrue()
            targets.isEvacuated("plain").shouldBeFalse()
        }

        test("an adapter that only departing targets have is loaded elsewhere while calls for it still run there") {
            val targets = table(inside = 4, outside = 4)
            val wanted = adapter("a1")
            val holder = targets.all.first()
            holder.adapters = mapOf(wanted to AdapterPhase.Present)
            val placement = AdapterPlacement(TargetSelector("dc-1") { 0.0 })
            val candidates = targets.all.toList()
            (placement.copyTargetOrNull(0, wanted, candidates) == null).shouldBeTrue()
            targets.evacuate("dc-1", 0, 0, BOUND_MS)
            (placement.place(0, wanted, candidates, emptySet()) == Placement.Run(holder)).shouldBeTrue()
            val copy = checkNotNull(placement.copyTargetOrNull(0, wanted, candidates))
            copy.isDeparting.shouldBeFalse()
            copy.adapters = mapOf(wanted to AdapterPhase.Present)
            (placement.place(0, wanted, candidates, emptySet()) == Placement.Run(copy)).shouldBeTrue()
            // An adapter that nobody has is never loaded where calls end soon.
            val missing = placement.place(0, adapter("a2"), candidates, emptySet()) as Placement.LoadAndWait
            missing.target.isDeparting.shouldBeFalse()
        }

        test("a target that was silent for longer than a restart takes counts as cold, and isn't probed while it is evacuated") {
            val targets = table(inside = 1, outside = 0)
            val silent = targets.all.single()
            silent.apply(Service("models", 100, null, coldStart = ColdStart(18.0, 3_000)), 0)
            var now = 0L
            var probes = 0
            val prober =
                TargetProber(targets, { _, done ->
                    probes++
                    done(now >= 1_500)
                }, { now }, {})
            silent.health.markSuspect()
            while (now < 3_500) {
                prober.tick(now)
                now += 50
            }
            silent.isSuspected(now).shouldBeFalse()
            silent.isLimited(now).shouldBeTrue()
            val before = probes.toLong()
            before shouldBeGreaterThan 1
            silent.health.markSuspect()
            targets.evacuate("dc-1", now, null, BOUND_MS)
            prober.tick(now + 10_000)
            probes.toLong() shouldBeLessThanOrEqual before
        }
    })
