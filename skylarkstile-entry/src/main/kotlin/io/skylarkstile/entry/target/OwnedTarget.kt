/*
 * One engine target while this instance owns it: what is loaded, what runs, what waits. All state is under one lock; calls to the engine
 * are made outside it by [EngineControl] and by the requests themselves.
 */
package io.skylarkstile.entry.target

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.load.loadUrgency
import io.skylarkstile.core.placement.AdapterSlots
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.core.placement.SlotPhase
import io.skylarkstile.core.placement.SlotReport
import io.skylarkstile.core.placement.VictimChoice
import io.skylarkstile.core.placement.chooseVictim
import io.skylarkstile.core.queue.Entry
import io.skylarkstile.core.queue.FairQueue
import io.skylarkstile.core.queue.Waiting
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.LoadAsk
import io.skylarkstile.schema.generated.TargetState
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = KotlinLogging.logger {}

private const val FIRST_LOAD_MS = 250.0
private const val AVERAGE_STEP = 0.2
private const val UNREACHABLE_AFTER_FAILURES = 2
private const val NOT_READY_RETRY_MS = 500L
private const val ESTIMATE_STEP = 0.05
private const val FIRST_ESTIMATE_TOKENS = 64.0

/** Holds the state of [resource] from its acquisition at [epoch]. [onChange] is called under the lock after each change of the load or slots. */
internal class OwnedTarget(
    val name: String,
    val epoch: Long,
    val resource: Resource,
    private val env: TargetEnv,
    firstFacts: TargetFacts,
    private val retiredPins: () -> Map<String, Int>,
    private val onChange: () -> Unit,
) {
    private val lock = ReentrantLock()
    private val slots = AdapterSlots(epoch, firstFacts.record.fencing, env.now())
    private val queue = FairQueue<Work>(env.settings.queueLimit)
    private val waiting = HashMap<Work, Waiting<Work>>()
    private val running = HashMap<Work, Waiting<Work>>()
    private val popularity = Popularity()
    private val backoffs = LoadBackoffs()
    private val pastBoots = HashSet<String>()
    private var facts = firstFacts
    private var phase = TargetPhase.Starting
    private var bootId: String? = null
    private var boot = 0
    private var fencedBoot = -1
    private var readFailures = 0
    private var loadMs = FIRST_LOAD_MS
    private var averageTokens = FIRST_ESTIMATE_TOKENS
    private var lastVictim: VictimChoice? = null
    private var sequence = 0L

    val fencing: Boolean = firstFacts.record.fencing
    val address: String = firstFacts.record.address
    val engine = EngineApi(env.http, address, epoch) { env.maySend(resource, epoch) }

    /** Accepts [work] for waiting or starts it; returns the refusal otherwise. */
    fun submit(work: Work): DispatchEnd? = lock.withLock {
        refusalOrNull(work)?.let { return it }
        popularity.record(work.model, work.arrivedAt)
        val request = work.request
        val isLoaded = slots.isLoaded(work.model)
        work.waitsForLoad = !isLoaded
        val entry =
            Waiting(
                work,
                request.workspace,
                request.weight,
                work.model,
                averageTokens,
                work.arrivedAt,
                work.arrivedAt + request.deadlineMs,
            )
        val answer = queue.add(entry, isLoaded, running.size, capacity(), work.arrivedAt)
        if (answer is Entry.Refused) return notRun(answer.reason, "target $name", answer.retryAfterMs)
        waiting[work] = entry
        (answer as Entry.Accepted).pushedOutOrNull?.let { refuse(it, notRun("queue-full", "target $name", NOT_READY_RETRY_MS)) }
        schedule()
        null
    }

    private fun refusalOrNull(work: Work): DispatchEnd? = when {
        phase == TargetPhase.Released -> notRun("not-owner")
        phase == TargetPhase.Unreachable -> notRun("target-unreachable", "target $name", NOT_READY_RETRY_MS)
        !facts.accepting -> notRun("draining", "target $name")
        else -> backoffs.refusalMs(work.model, work.arrivedAt)?.let { notRun("load-backoff", "target $name", it) }
    }

    private fun refuse(
        work: Work,
        end: DispatchEnd,
    ) {
        waiting.remove(work)
        work.refuse(end)
    }

    private fun refuseAll(
        end: DispatchEnd,
        isGone: (Waiting<Work>) -> Boolean = { true },
    ) = queue.removeAll(isGone).forEach { refuse(it.item, end) }

    /** Requests of former owners still occupy the engine until they are reported gone. */
    private fun capacity(): Int = (facts.record.maxRunning - foreignPins().values.sum()).coerceAtLeast(1)

    private fun foreignPins(): Map<String, Int> {
        val retired = retiredPins()
        val foreign = env.cluster.foreignPins(resource)
        return if (retired.isEmpty()) foreign else (foreign.keys + retired.keys).associateWith { (foreign[it] ?: 0) + (retired[it] ?: 0) }
    }

    private fun schedule() {
        val now = env.now()
        while (phase == TargetPhase.Ready && running.size < capacity()) {
            val entry = queue.next() ?: break
            val work = entry.item
            val handle = checkNotNull(slots.pin(work.model, now)) { "request ${work.request.requestId} was ready without its adapter" }
            waiting.remove(work)
            running[work] = entry
            env.stalls.started(work.waitsForLoad, now - work.arrivedAt)
            work.start(Decision.Start(handle, boot), now)
        }
        onChange()
    }

    /** Ends [work] in any state. [complete] tells that the engine runs nothing of it any more. */
    fun finish(
        work: Work,
        complete: Boolean,
        tokens: Int,
    ) = lock.withLock {
        waiting.remove(work)?.let { queue.remove(it) }
        running.remove(work)?.let { entry ->
            val start = work.startOrNull
            if (start?.boot == boot) slots.unpin(start.handle, complete, env.now())
            queue.finished(entry, tokens, env.now() - work.startedAt)
            if (complete && tokens > 0) averageTokens += (tokens - averageTokens) * ESTIMATE_STEP
        }
        schedule()
    }

    /** Takes note of the [facts] of newer records. */
    fun update(facts: TargetFacts) = lock.withLock {
        this.facts = facts
        if (!facts.accepting) refuseAll(notRun("draining", "target $name"))
        schedule()
    }

    /** Stops starting work; returns the handles in use with counts. */
    fun release(): Map<String, Int> = lock.withLock {
        if (phase != TargetPhase.Released) {
            phase = TargetPhase.Released
            refuseAll(notRun("not-owner"))
            onChange()
        }
        running.keys
            .mapNotNull { it.startOrNull?.handle }
            .groupingBy { it }
            .eachCount()
    }

    fun runningCount(): Int = lock.withLock { running.size }

    /** Gives up all running requests, which end as `unknown` with [reason]. */
    fun abortRunning(reason: String) = lock.withLock { running.keys.forEach { it.aborted.complete(reason) } }

    /** Refuses waiting requests whose deadline has passed. */
    fun expire(now: Long) = lock.withLock { refuseAll(notRun("deadline", "target $name")) { it.deadlineAt <= now } }

    /** Number of engine restarts seen. */
    fun boot(): Int = lock.withLock { boot }

    /** Returns whether the engine must first be told to refuse the orders of older owners. */
    fun needsFence(): Boolean = lock.withLock { fencing && fencedBoot != boot }

    /** Takes note that the fencing number was raised after [atBoot] restarts. */
    fun fenced(atBoot: Int) = lock.withLock { fencedBoot = atBoot }

    /** Takes over a state [report] whose read began at [readAt]. */
    fun reported(
        report: EngineReport,
        readAt: Long,
    ) = lock.withLock {
        observeBoot(report.bootId)
        readFailures = 0
        slots.report(SlotReport(report.running, readAt - report.ageMs), env.now())
        if (phase != TargetPhase.Released && !(fencing && fencedBoot != boot)) phase = TargetPhase.Ready
        syncQueue()
    }

    /** Counts a failed state read or fencing order. */
    fun readFailed(detail: String) = lock.withLock {
        readFailures++
        if (readFailures != UNREACHABLE_AFTER_FAILURES || phase == TargetPhase.Released) return@withLock
        log.event(Level.WARN, "target-unreachable", "target" to name, "address" to address) { "target $name is unreachable: $detail" }
        phase = TargetPhase.Unreachable
        refuseAll(notRun("target-unreachable", "target $name", NOT_READY_RETRY_MS))
        onChange()
    }

    /** Compares the boot id of any answer; a new one means that the engine restarted empty. */
    fun bootSeen(id: String?) = lock.withLock { if (id != null && observeBoot(id)) syncQueue() }

    private fun observeBoot(id: String): Boolean {
        val before = bootId
        if (before == id || id in pastBoots) return false
        bootId = id
        if (before == null) return false
        log.event(Level.WARN, "target-restarted", "target" to name, "bootId" to id, "requests" to running.size) {
            "target $name restarted: boot id $before was replaced by $id; its running requests are given up"
        }
        pastBoots.add(before)
        boot++
        slots.forget()
        if (fencing && phase == TargetPhase.Ready) phase = TargetPhase.Starting
        running.keys.forEach { it.aborted.complete(TARGET_RESTARTED) }
        return true
    }

    private fun syncQueue() {
        queue.park { slots.isLoaded(it) }
        queue
            .parkedByModel()
            .keys
            .filter { slots.isLoaded(it) }
            .forEach { queue.loaded(it) }
        schedule()
    }

    /** Returns what to ask load permits for, most wanted first, except for models in [asking]; no more than there is room for. */
    fun wantedLoads(asking: Set<String>): List<LoadAsk> = lock.withLock {
        val now = env.now()
        if (phase != TargetPhase.Ready || !facts.accepting) return emptyList()
        val asks =
            queue
                .parkedByModel()
                .filterKeys { it !in asking && !slots.isChanging(it) && backoffs.isLoadAllowed(it, now) }
                .map { (model, entries) -> LoadAsk(name, model, entries.size, now - entries.minOf { it.arrivedAt }) }
                .sortedByDescending { loadUrgency(it.waiting, it.oldestMs) }
        if (asks.isEmpty()) return asks
        val idle = slots.idle(foreignPins(), popularity, now, queue::isWanted)
        val free = facts.record.slots - slots.occupied
        asks
            .filter { free > 0 || chooseVictim(idle, loadMs.toLong(), it.oldestMs).handleOrNull != null }
            .take((free + idle.size - asking.size).coerceAtLeast(0))
    }

    private fun victim(
        oldestMs: Long,
        now: Long,
    ): VictimChoice = chooseVictim(slots.idle(foreignPins(), popularity, now, queue::isWanted), loadMs.toLong(), oldestMs)

    /** Returns the current ask for [model], or null when nothing waits for it any more. */
    fun askOrNull(model: String): LoadAsk? = wantedLoads(emptySet()).firstOrNull { it.adapter == model }

    /** Decides the next step of a permitted load of [model] and reserves what it needs. */
    fun beginLoad(model: String): LoadStep = lock.withLock {
        val now = env.now()
        val entries = queue.parkedByModel()[model]
        if (phase != TargetPhase.Ready || entries.isNullOrEmpty() || slots.isChanging(model)) return LoadStep.None
        if (slots.occupied < facts.record.slots) {
            return LoadStep
                .Load(
                    slots.beginLoad(model, now),
                    entries
                        .first()
                        .item.request.loraPath,
                    boot,
                ).also { onChange() }
        }
        val choice = victim(now - entries.minOf { it.arrivedAt }, now).also { lastVictim = it }
        val handle = choice.handleOrNull?.takeIf { slots.beginUnload(it, foreignPins(), now) } ?: return LoadStep.None
        LoadStep.Unload(handle, boot).also { onChange() }
    }

    /** Returns a handle of a former epoch that can be unloaded now. */
    fun beginCleanup(): LoadStep = lock.withLock {
        if (phase != TargetPhase.Ready) return LoadStep.None
        val stale = slots.idle(foreignPins(), popularity, env.now(), queue::isWanted).firstOrNull { !it.usable } ?: return LoadStep.None
        if (slots.beginUnload(stale.handle, foreignPins(), env.now())) LoadStep.Unload(stale.handle, boot) else LoadStep.None
    }

    /** Ends the unload of [step]; [unloaded] is null when its outcome is not known. */
    fun endUnload(
        step: LoadStep.Unload,
        unloaded: Boolean?,
    ) = lock.withLock {
        if (step.boot == boot) slots.endUnload(step.victim, unloaded, env.now())
        syncQueue()
    }

    /** Ends the load of [step] that took [tookMs] milliseconds; [loaded] is null when its outcome is not known. */
    fun endLoad(
        step: LoadStep.Load,
        loaded: Boolean?,
        tookMs: Long,
        detail: String,
        isEngineFault: Boolean = true,
    ) = lock.withLock {
        val model = step.handle.substringBefore('#')
        if (step.boot == boot) slots.endLoad(step.handle, loaded, env.now())
        if (loaded == true) {
            loadMs += (tookMs - loadMs) * AVERAGE_STEP
            backoffs.loaded(model)
        } else if (isEngineFault) {
            loadFailed(model, detail, isSlow = loaded == null)
        }
        syncQueue()
    }

    private fun loadFailed(
        model: String,
        detail: String,
        isSlow: Boolean,
    ) {
        val backoff = backoffs.failed(model, isSlow, env.now())
        log.event(
            Level.WARN,
            "load-failed",
            "target" to name,
            "model" to model,
            "failures" to backoff.failures,
            "pauseMs" to backoff.pauseMs,
        ) {
            "load of $model on target $name failed: $detail"
        }
        if (backoff.isRefusing) refuseAll(notRun("load-failed", "target $name: $detail", backoff.pauseMs)) { it.model == model }
    }

    /** Takes note that the engine does not know [handle]. */
    fun handleMissing(handle: String) = lock.withLock {
        slots.missing(handle, env.now())
        syncQueue()
    }

    /** Returns the state to send to the other instances; each call takes the next sequence number. */
    fun state(): TargetState = lock.withLock {
        val isAccepting = facts.accepting && (phase == TargetPhase.Ready || phase == TargetPhase.Starting)
        TargetState(
            name,
            epoch,
            ++sequence,
            isAccepting,
            slots.models(SlotPhase.Loaded),
            loadingModels(),
            running.size,
            queue.size,
            facts.record.maxRunning,
            facts.record.slots,
            victimRateOrNull(),
        )
    }

    /** A load that waits for its permit counts too; otherwise another home loads the same adapter while the store is busy. */
    private fun loadingModels(): List<String> = (slots.models(SlotPhase.Loading) + queue.parkedModels()).distinct().sorted()

    private fun victimRateOrNull(): Double? = when {
        slots.occupied < facts.record.slots -> 0.0
        else -> slots.idle(foreignPins(), popularity, env.now(), queue::isWanted).minOfOrNull { it.ratePerSecond }
    }

    fun dump(): OwnedTargetDump = lock.withLock {
        OwnedTargetDump(
            name,
            epoch,
            phase.name,
            bootId,
            running.size,
            slots.dump(),
            queue.dump(),
            popularity.top(20, env.now()),
            loadMs.toLong(),
            lastVictim,
            backoffs.dump(),
        )
    }
}
