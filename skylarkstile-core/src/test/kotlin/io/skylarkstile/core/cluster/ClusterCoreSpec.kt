/*
 * Tests of the membership protocol in a simulated cluster with faults: safety under faults, recovery after them, and time limits.
 */
package io.skylarkstile.core.cluster

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll

private fun ClusterSimulation.start(size: Int) {
    repeat(size) { add("n$it") }
    run(20_000)
}

private fun ClusterSimulation.partition() {
    val side = live.filter { random.nextBoolean() }.map { it.name } + if (random.nextBoolean()) listOf(PLATFORM) else emptyList()
    val all = live.map { it.name } + PLATFORM
    val oneWay = random.nextInt(4) == 0
    for (a in side) {
        for (b in all - side.toSet()) {
            cut += a to b
            if (!oneWay) cut += b to a
        }
    }
}

private fun ClusterSimulation.platformOutage() {
    live.forEach { cut += setOf(it.name to PLATFORM, PLATFORM to it.name) }
}

private fun ClusterSimulation.pause() {
    live.filter { random.nextInt(3) == 0 }.forEach { it.pausedUntil = now + random.nextLong(8_000) }
}

/**
 * Returns whether more than half of the members stay alive without [node]. Otherwise the others can't tell the loss from a partition, and
 * remove nobody until an operator acts (limit in section 3.1 of the design).
 */
private fun ClusterSimulation.hasMajorityWithout(
    node: SimNode,
    membersWithout: Int,
): Boolean {
    val staying = live.count { it !== node && !it.leaving && roster.lists(it.name, it.core.me.incarnation) }
    return staying > membersWithout / 2
}

private fun ClusterSimulation.kill() {
    val node = live.randomOrNull(random) ?: return
    if (hasMajorityWithout(node, roster.members.size)) node.alive = false
}

private fun ClusterSimulation.leave() {
    val node = live.randomOrNull(random) ?: return
    val membersWithout =
        roster.members.count { member ->
            member.instance != node.name &&
                live.none { it.name == member.instance && it.leaving }
        }
    if (!hasMajorityWithout(node, membersWithout)) return
    node.core.leave()
    node.leaving = true
}

/** Injects one random fault or change of membership. */
private fun ClusterSimulation.injectFault(names: Iterator<String>) {
    when (random.nextInt(10)) {
        0, 1 -> partition()
        2 -> platformOutage()
        3, 4 -> pause()
        5 -> kill()
        6 -> add(names.next())
        7 -> leave()
        8 -> nodes.filter { n -> !n.alive && !n.leaving && live.none { it.name == n.name } }.randomOrNull(random)?.let { add(it.name) }
        else -> {
            lossRate = random.nextDouble(0.3)
            slowRate = random.nextDouble(0.2)
        }
    }
}

private fun ClusterSimulation.heal() {
    cut.clear()
    lossRate = 0.0
    slowRate = 0.0
}

private fun recoverAfterFaults(seed: Long) = withClue("seed $seed") {
    val sim = ClusterSimulation(seed)
    val names = generateSequence(10) { it + 1 }.map { "n$it" }.iterator()
    sim.start(5)
    repeat(6) {
        sim.injectFault(names)
        sim.run(sim.now + sim.random.nextLong(10_000))
    }
    sim.heal()
    sim.run(sim.now + 90_000)
    sim.roster.members.map { "${it.instance} ${it.state}" } shouldContainExactlyInAnyOrder sim.live.map { "${it.name} Active" }
    sim.resources.forEach { r -> sim.live.count { it.core.ownership(r) is Ownership.Held } shouldBe 1 }
}

class ClusterCoreSpec :
    FunSpec({
        test("no fault gives a resource two owners, more than the whole rate, or a removal during a valid lease") {
            checkAll(PropTestConfig(iterations = 100), Arb.long()) { seed ->
                withClue("seed $seed") {
                    val sim = ClusterSimulation(seed)
                    val names = generateSequence(10) { it + 1 }.map { "n$it" }.iterator()
                    sim.start(sim.random.nextInt(1, 7))
                    repeat(12) {
                        sim.injectFault(names)
                        sim.run(sim.now + sim.random.nextLong(12_000))
                        if (sim.random.nextInt(3) == 0) sim.heal()
                    }
                }
            }
        }

        test("after faults end, all live instances are active and every resource has an owner") {
            listOf(3601946483122505025, 8450847451827048814).forEach(::recoverAfterFaults)
            checkAll(PropTestConfig(iterations = 40), Arb.long()) { seed -> recoverAfterFaults(seed) }
        }

        test("a dead instance is removed within six seconds") {
            val sim = ClusterSimulation(1)
            sim.start(6)
            sim.live.first().alive = false
            sim.run(sim.now + 6_000)
            sim.roster.members.size shouldBe 5
        }

        test("a platform outage of an hour changes nothing for the leases") {
            val sim = ClusterSimulation(2)
            sim.start(6)
            sim.platformOutage()
            repeat(360) {
                sim.run(sim.now + 10_000)
                sim.live.count { it.core.hasLease(it.clock(sim.now)) } shouldBe 6
            }
        }

        test("leases return by mutual vouches when all lapsed at once during an outage") {
            val sim = ClusterSimulation(3)
            sim.start(6)
            sim.platformOutage()
            for (a in sim.live) for (b in sim.live) sim.cut += a.name to b.name
            sim.run(sim.now + 4_000)
            sim.live.count { it.core.hasLease(it.clock(sim.now)) } shouldBe 0
            sim.heal()
            sim.platformOutage()
            sim.run(sim.now + 1_500)
            sim.live.count { it.core.hasLease(it.clock(sim.now)) } shouldBe 6
        }

        test("all instances restarted at their addresses become active although one stays away") {
            val sim = ClusterSimulation(4)
            sim.start(6)
            sim.live.forEach { it.alive = false }
            repeat(5) { sim.add("n$it") }
            sim.run(sim.now + 30_000)
            sim.roster.members.map { "${it.instance} ${it.state}" } shouldContainExactlyInAnyOrder List(5) { "n$it Active" }
        }
    })
