/*
 * Guards against a harmful prompt part that goes on to crash targets although the fleet has seen enough crashes, and against sound calls that
 * are refused because they share a part with it or ran on a target that crashed.
 */
package io.skylarkstile.gateway.peer

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.forEachSeed
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.GatewayDatagram
import java.net.InetSocketAddress
import kotlin.random.Random

private const val HARMFUL = "bad"
private const val LOSS = 0.02
private const val PLAY_MS = 40_000L

/** Time without crashes at the beginning, in milliseconds, in which the usual parts get a history. */
private const val CALM_MS = 4_000L
private const val TICK_MS = 250L
private const val RESTART_MS = 3_000L

/** The bound on harmful calls holds this long after the fifth crash, in milliseconds. */
private const val CONTACT_MS = 3_000L
private const val BINDING_CRASH = 5
private const val TOLERATED_CALLS = 3

/** Number of parts that begin prompts, of those that follow them, and calls a second for each target. */
private const val FIRST_PARTS = 5
private const val MIDDLE_PARTS = 300
private const val CALLS_PER_TARGET = 5.0
private const val MAX_CALL_MS = 2_500

/** Describes the load of a simulated fleet: harmful calls a second, crashes a second without a harmful call, whether an instance freezes. */
private data class CrashPlan(
    val instances: Int,
    val targets: Int,
    val harmfulPerSecond: Double,
    val chanceCrashesPerSecond: Double = 0.0,
    val freezes: Boolean = false,
)

/** Simulates instances with callers, and targets that crash under a harmful part or by chance and start again under another id. */
private class CrashFleet(
    seed: Int,
    private val plan: CrashPlan,
) {
    private class Call(
        val member: CrashFleet.Member,
        val parts: List<String>,
        val respondedAt: Long,
    ) {
        var timer: Timer? = null
    }

    private class SimulatedTarget(
        val id: String,
        val port: Int,
    ) {
        val calls = ArrayList<Call>()
    }

    private val random = Random(seed)
    private val scheduler = ManualScheduler()
    private val records =
        List(plan.instances) {
            val address = InetSocketAddress("10.0.${it / 200}.${it % 200 + 1}", 7_600)
            InstanceRecord("i-$it", "dc-${it % 3}", address, address, 1, emptySet())
        }
    private val set = InstanceSet(records.associateBy { it.name })
    private val table = TargetTable()
    private val targets = HashMap<Int, SimulatedTarget>()
    private val members = records.map(::Member)
    private val byAddress = members.associateBy { it.record.peers }
    private var targetNumber = 0
    private var isRepaired = false
    private val refusedSince = HashMap<String, Long>()
    private val refusedAt = HashMap<String, Long>()
    val crashes = ArrayList<Long>()
    private val harmfulCrashes = ArrayList<Long>()
    val harmfulCalls = ArrayList<Long>()
    var soundCalls = 0
    var refusedSoundCalls = 0
    var datagrams = 0

    /** Longest time in milliseconds during which calls with one sound part were refused without a success. */
    var longestRefusalMs = 0L

    init {
        repeat(plan.targets) { startTarget(it + 1) }
        members.forEach { it.reports.apply(set) }
    }

    inner class Member(
        val record: InstanceRecord,
    ) {
        val reports: FleetCrashReports = FleetCrashReports(record, scheduler, table, ::checkReachable, ::send)
        var isFrozen = false
        var thawedAt = Long.MIN_VALUE / 2

        private fun checkReachable(
            address: InetSocketAddress,
            done: (Boolean) -> Unit,
        ) {
            scheduler.after(1) { done(address.port in targets) }
        }

        private fun send(
            datagram: GatewayDatagram,
            receivers: Collection<InetSocketAddress>,
        ) = receivers.mapNotNull(byAddress::get).forEach { receiver ->
            datagrams++
            if (isFrozen || receiver.isFrozen || random.nextDouble() < LOSS) return@forEach
            scheduler.after(1 + random.nextLong(10)) { receiver.receive(datagram) }
        }

        private fun receive(datagram: GatewayDatagram) {
            if (!isFrozen) reports.receive(datagram)
        }

        fun call(parts: List<String>) {
            val now = scheduler.now()
            val target = targets.values.randomOrNull(random) ?: return
            if (reports.blockedUntilOrNull(parts, now) != null) return refused(parts)
            val call = Call(this, parts, now)
            reports.callSent(parts, now)
            target.calls.add(call)
            // An instance that has stood still is bound again after a while.
            if (HARMFUL in parts && now - thawedAt > CONTACT_MS) harmfulCalls.add(now)
            if (HARMFUL in parts && !isRepaired) {
                scheduler.after(20 + random.nextLong(80)) { if (crash(target)) harmfulCrashes.add(scheduler.now()) }
            } else {
                soundCalls++
                call.timer = scheduler.after(50 + random.nextLong(MAX_CALL_MS.toLong())) { served(target, call) }
            }
        }
    }

    private fun refused(parts: List<String>) {
        if (HARMFUL in parts) return
        refusedSoundCalls++
        soundCalls++
        val now = scheduler.now()
        parts.forEach { part ->
            longestRefusalMs = maxOf(longestRefusalMs, now - refusedSince.getOrPut(part) { now })
            refusedAt[part] = now
        }
    }

    private fun served(
        target: SimulatedTarget,
        call: Call,
    ) {
        target.calls.remove(call)
        call.parts.forEach { refusedSince.remove(it) }
        call.member.reports.callServed(call.parts, scheduler.now())
    }

    private fun startTarget(port: Int) {
        val target = SimulatedTarget("t-${++targetNumber}", port)
        targets[port] = target
        table.put(entry(target.id, port = port))
    }

    private fun crash(target: SimulatedTarget): Boolean {
        if (targets[target.port] !== target) return false
        targets.remove(target.port)
        crashes.add(scheduler.now())
        val state = checkNotNull(table[target.id])
        target.calls.forEach { call ->
            call.timer?.cancel()
            call.member.reports.callLost(state, call.parts, call.respondedAt, scheduler.now())
        }
        scheduler.after(RESTART_MS) {
            table.remove(target.id, scheduler.now(), null)
            startTarget(target.port)
        }
        return true
    }

    private fun popularIndex(count: Int): Int = minOf((count * random.nextDouble() * random.nextDouble()).toInt(), count - 1)

    /** Plays all calls for [PLAY_MS]. */
    fun play() {
        if (plan.freezes) freeze()
        repeat(PLAY_MS.toInt()) { ms ->
            if (random.nextDouble() < plan.targets * CALLS_PER_TARGET / 1_000) callFrom { "m${popularIndex(MIDDLE_PARTS)}" }
            if (ms > CALM_MS && random.nextDouble() < plan.harmfulPerSecond / 1_000) callFrom { HARMFUL }
            if (ms > CALM_MS && random.nextDouble() < plan.chanceCrashesPerSecond / 1_000) targets.values.randomOrNull(random)?.let(::crash)
            if (ms % TICK_MS.toInt() == 0) tick()
            scheduler.advance(1)
        }
    }

    private fun tick() = members.forEach { if (!it.isFrozen) it.reports.tick(scheduler.now()) }

    /** Lets [ms] milliseconds pass without calls. */
    fun idle(ms: Long) = repeat((ms / TICK_MS).toInt()) {
        tick()
        scheduler.advance(TICK_MS)
    }

    /** Sends one call with the harmful part from each instance, and returns how many weren't refused. */
    fun tryHarmfulPart(): Int = members.count { member ->
        val before = harmfulCalls.size
        member.call(listOf("f0", HARMFUL))
        harmfulCalls.size > before
    }

    /** Lets calls with the harmful part succeed, as after a repair of the targets. */
    fun repair() {
        isRepaired = true
    }

    private fun callFrom(middle: () -> String) {
        val member = members.filter { !it.isFrozen }.random(random)
        member.call(listOf("f${popularIndex(FIRST_PARTS)}", middle()))
    }

    /** Freezes one instance after another for some seconds. */
    private fun freeze() = members.shuffled(random).take(3).forEachIndexed { index, member ->
        val at = CALM_MS + index * 2_000L
        scheduler.after(at) { member.isFrozen = true }
        scheduler.after(at + 4_000) {
            member.isFrozen = false
            member.thawedAt = at + 4_000
        }
    }

    fun summary() = "${crashes.size} crashes, ${harmfulCalls.size} harmful calls, ${harmfulCallsBeyondBound()} beyond the bound, " +
        "$refusedSoundCalls of $soundCalls sound calls refused, one part for $longestRefusalMs ms, $datagrams datagrams"

    /** Returns how many harmful calls were sent after the bound began to hold. */
    fun harmfulCallsBeyondBound(): Int {
        val fifth = harmfulCrashes.getOrNull(BINDING_CRASH - 1) ?: return 0
        return harmfulCalls.count { it > fifth + CONTACT_MS }
    }
}

class FleetCrashReportsSpec :
    FunSpec({
        listOf(
            CrashPlan(instances = 1, targets = 13, harmfulPerSecond = 4.0),
            CrashPlan(instances = 6, targets = 13, harmfulPerSecond = 4.0),
            CrashPlan(instances = 6, targets = 13, harmfulPerSecond = 0.3, chanceCrashesPerSecond = 0.3),
            CrashPlan(instances = 6, targets = 13, harmfulPerSecond = 40.0, freezes = true),
            CrashPlan(instances = 95, targets = 60, harmfulPerSecond = 4.0, chanceCrashesPerSecond = 0.3, freezes = true),
            CrashPlan(instances = 300, targets = 100, harmfulPerSecond = 4.0),
        ).forEach { plan ->
            test("a harmful part reaches at most three targets after the bound, and sound calls go on: $plan") {
                forEachSeed(2) { seed ->
                    val fleet = CrashFleet(seed, plan)
                    fleet.play()
                    if (System.getenv("FRESH_SEEDS") != null) println("${plan.instances} instances: ${fleet.summary()}")
                    withClue(fleet.summary()) {
                        fleet.harmfulCallsBeyondBound() shouldBeLessThanOrEqualTo TOLERATED_CALLS
                        fleet.refusedSoundCalls shouldBeLessThanOrEqualTo fleet.soundCalls / 100
                    }
                }
            }
        }

        listOf(6 to 13, 95 to 60).forEach { (instances, targets) ->
            test("$instances instances refuse nothing for long when targets crash by chance") {
                forEachSeed(3) { seed ->
                    val fleet =
                        CrashFleet(
                            seed,
                            CrashPlan(
                                instances,
                                targets,
                                harmfulPerSecond = 0.0,
                                chanceCrashesPerSecond =
                                    targets / 20.0,
                            ),
                        )
                    fleet.play()
                    withClue(fleet.summary()) { fleet.refusedSoundCalls shouldBe 0 }
                }
            }
        }

        test("after its block, one instance tries a harmful part with one call, and a crash blocks it for longer") {
            val fleet = CrashFleet(1, CrashPlan(instances = 6, targets = 13, harmfulPerSecond = 0.0))
            repeat(3) {
                fleet.tryHarmfulPart()
                fleet.idle(2_000)
            }
            fleet.tryHarmfulPart() shouldBe 0
            val crashes = fleet.crashes.size
            fleet.idle(600_000)
            withClue("calls of all instances at the same time") { fleet.tryHarmfulPart() shouldBe 1 }
            fleet.idle(2_000)
            fleet.crashes.size shouldBe crashes + 1
            fleet.idle(58_000)
            fleet.tryHarmfulPart() shouldBe 0
        }

        test("a trial that succeeds lets all instances send calls with the part again") {
            val fleet = CrashFleet(1, CrashPlan(instances = 6, targets = 13, harmfulPerSecond = 0.0))
            fleet.tryHarmfulPart()
            fleet.idle(2_000)
            fleet.tryHarmfulPart() shouldBe 0
            fleet.repair()
            fleet.idle(240_000)
            fleet.tryHarmfulPart() shouldBe 1
            fleet.idle(4_000)
            fleet.tryHarmfulPart() shouldBe 6
            fleet.idle(4_000)
            fleet.tryHarmfulPart() shouldBe 6
        }

        test("reports and verdicts fit into datagrams whatever parts callers send") {
            val random = Random(1)
            val scheduler = ManualScheduler()
            val table = TargetTable()
            val address = InetSocketAddress("10.0.0.1", 7_600)
            val records = List(2) { InstanceRecord("i-$it", "dc-1", address, address, 1, emptySet()) }
            val sizes = ArrayList<Int>()
            val codec = DatagramCodec()
            val unreachable = { _: InetSocketAddress, done: (Boolean) -> Unit -> done(false) }
            val reports =
                FleetCrashReports(records[0], scheduler, table, unreachable, { datagram, _ -> sizes.add(codec.encode(datagram).size) })
            reports.apply(InstanceSet(records.associateBy { it.name }))
            val parts = List(2_000) { List(32) { random.nextInt(16).toString(16) }.joinToString("") }
            repeat(100) { number ->
                val target = table.put(entry("t-$number"))
                repeat(4) { reports.callLost(target, parts.shuffled(random).take(32), null, scheduler.now()) }
                reports.tick(scheduler.now())
                scheduler.advance(300)
            }
            withClue("datagrams ${sizes.size}") { sizes.max() shouldBeLessThanOrEqualTo 60_000 }
        }
    })
