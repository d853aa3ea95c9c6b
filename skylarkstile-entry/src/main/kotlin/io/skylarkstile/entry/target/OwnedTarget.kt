/*
 * State of one engine target while this instance owns it: loaded adapters, running requests and queued requests. One lock guards all of it;
 * [EngineControl] and the coroutines of the requests call the engine without holding the lock.
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

/** Assumed load time until the first load was measured. */
private const val INITIAL_LOAD_MS = 250.0

/** Weight of the latest load in the moving average of the load time. */
private const val SMOOTHING_FACTOR = 0.2
private const val UNREACHABLE_AFTER_FAILURES = 2
private const val NOT_READY_RETRY_MS = 500L

/** Weight of the latest answer in the moving average of the generated tokens. */
private const val TOKEN_SMOOTHING_FACTOR = 0.05

/** Assumed number of generated tokens until the first answer is complete. */
private const val INITIAL_TOKEN_ESTIMATE = 64.0

/** Holds the state of [resource] since its acquisition at [epoch]; calls [onChange] under the lock after each change of load or slots. */
internal class OwnedTarget(
    val name: String,
    val epoch: Long,
    val resource: Resource,
    private val env: TargetEnv,
    initialConfig: TargetConfig,
    private val retiredPins: () -> Map<String, Int>,
    private val onChange: () -> Unit,
) {
    private val lock = ReentrantLock()
    private val slots = AdapterSlots(epoch, initialConfig.record.fencing, env.now())
    private val queue = FairQueue<RequestTask>(env.settings.queueLimit)
    private val waiting = HashMap<RequestTask, Waiting<RequestTask>>()
    private val running = HashMap<RequestTask, Waiting<RequestTask>>()
    private val popularity = Popularity()
    private val backoffs = LoadBackoffs()
    private val previousBootIds = HashSet<String>()
    private var config = initialConfig
    private var phase = TargetPhase.Starting
    private var bootId: String? = null
    private var restartCount = 0
    private var fencedRestartCount = -1
    private var readFailures = 0
    private var loadMs = INITIAL_LOAD_MS
    private var averageTokens = INITIAL_TOKEN_ESTIMATE
    private var lastVictim: VictimChoice? = null
    private var sequence = 0L

    val fencing: Boolean = initialConfig.record.fencing
    val address: String = initialConfig.record.address
    val engine = EngineApi(env.http, address, epoch) { env.maySend(resource, epoch) }

    /** Queues or starts [task]; returns the refusal if it does neither. */
    fun submit(task: RequestTask): DispatchEnd? = lock.withLock {
        refusalOrNull(task)?.let { return it }
        popularity.record(task.model, task.arrivedAt)
        val request = task.request
        val isLoaded = slots.isLoaded(task.model)
        task.waitsForLoad = !isLoaded
        val entry =
            Waiting(
                task,
                request.workspace,
                request.weight,
                task.model,
                averageTokens,
                task.arrivedAt,
                task.arrivedAt + request.deadlineMs,
            )
        val answer = queue.add(entry, isLoaded, running.size, capacity(), task.arrivedAt)
        if (answer is Entry.Refused) return notRun(answer.reason, "target $name", answer.retryAfterMs)
        waiting[task] = entry
        (answer as Entry.Accepted).pushedOutOrNull?.let { refuse(it, notRun("queue-full", "target $name", NOT_READY_RETRY_MS)) }
        schedule()
        null
    }

    private fun refusalOrNull(task: RequestTask): DispatchEnd? = when {
        phase == TargetPhase.Released -> notRun("not-owner")
        phase == TargetPhase.Unreachable -> notRun("target-unreachable", "target $name", NOT_READY_RETRY_MS)
        !config.accepting -> notRun("draining", "target $name")
        else -> backoffs.refusalMs(task.model, task.arrivedAt)?.let { notRun("load-backoff", "target $name", it) }
    }

    private fun refuse(
        task: RequestTask,
        end: DispatchEnd,
    ) {
        waiting.remove(task)
        task.refuse(end)
    }

    private fun refuseAll(
        end: DispatchEnd,
        shouldRefuse: (Waiting<RequestTask>) -> Boolean = { true },
    ) = queue.removeAll(shouldRefuse).forEach { refuse(it.item, end) }

    /** Returns how many requests may run at once. Those of previous owners occupy the engine until they are reported as ended. */
    private fun capacity(): Int = (config.record.maxRunning - foreignPins().values.sum()).coerceAtLeast(1)

    private fun foreignPins(): Map<String, Int> {
        val retired = retiredPins()
        val foreign = env.cluster.foreignPins(resource)
        return if (retired.isEmpty()) foreign else (foreign.keys + retired.keys).associateWith { (foreign[it] ?: 0) + (retired[it] ?: 0) }
    }

    private fun schedule() {
        val now = env.now()
        while (phase == TargetPhase.Ready && running.size < capacity()) {
            val entry = queue.next() ?: break
            val task = entry.item
            val handle = checkNotNull(slots.pin(task.model, now)) { "request ${task.request.requestId} started without a loaded adapter" }
            waiting.remove(task)
            running[task] = entry
            env.stalls.recordStart(task.waitsForLoad, now - task.arrivedAt)
            task.start(SchedulingDecision.Start(handle, restartCount), now)
        }
        onChange()
    }

    /** Ends [task] in any state. [finishedAtEngine] tells that the engine no longer runs any part of it. */
    fun finish(
        task: RequestTask,
        finishedAtEngine: Boolean,
        tokens: Int,
    ) = lock.withLock {
        waiting.remove(task)?.let { queue.remove(it) }
        running.remove(task)?.let { entry ->
            val start = task.startOrNull
            if (start?.restartCount == restartCount) slots.unpin(start.handle, finishedAtEngine, env.now())
            queue.finished(entry, tokens, env.now() - task.startedAt)
            if (finishedAtEngine && tokens > 0) averageTokens += (tokens - averageTokens) * TOKEN_SMOOTHING_FACTOR
        }
        schedule()
    }

    /** Applies the [config] of a newer snapshot. */
    fun update(config: TargetConfig) = lock.withLock {
        this.config = config
        if (!config.accepting) refuseAll(notRun("draining", "target $name"))
        schedule()
    }

    /** Stops starting requests; returns the number of running requests by handle. */
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

    /** Aborts all running requests, which end as `unknown` with [reason]. */
    fun abortRunning(reason: String) = lock.withLock { running.keys.forEach { it.abortReason.complete(reason) } }

    /** Refuses waiting requests whose deadline has passed. */
    fun refuseExpired(now: Long) = lock.withLock { refuseAll(notRun("deadline", "target $name")) { it.deadlineAt <= now } }

    /** Returns the number of engine restarts observed. */
    fun restartCount(): Int = lock.withLock { restartCount }

    /** Returns whether the fencing number must be raised first, so that the engine refuses orders of previous owners. */
    fun needsFence(): Boolean = lock.withLock { fencing && fencedRestartCount != restartCount }

    /** Records that the fencing number was raised after [atRestartCount] restarts. */
    fun onFenced(atRestartCount: Int) = lock.withLock { fencedRestartCount = atRestartCount }

    /** Applies a state [report] whose read began at [readAt]. */
    fun onReport(
        report: EngineReport,
        readAt: Long,
    ) = lock.withLock {
        observeBoot(report.bootId)
        readFailures = 0
        slots.report(SlotReport(report.running, readAt - report.ageMs), env.now())
        if (phase != TargetPhase.Released && !(fencing && fencedRestartCount != restartCount)) phase = TargetPhase.Ready
        syncQueue()
    }

    /** Counts a failed state read or fencing order; after [UNREACHABLE_AFTER_FAILURES] in a row, the target is unreachable. */
    fun onReadFailed(detail: String) = lock.withLock {
        readFailures++
        if (readFailures != UNREACHABLE_AFTER_FAILURES || phase == TargetPhase.Released) return@withLock
        log.event(Level.WARN, "target-unreachable", "target" to name, "address" to address) { "target $name is unreachable: $detail" }
        phase = TargetPhase.Unreachable
        refuseAll(notRun("target-unreachable", "target $name", NOT_READY_RETRY_MS))
        onChange()
    }

    /** Compares the boot id of any answer with the known one. A new id means that the engine restarted without loaded adapters. */
    fun onBootId(id: String?) = lock.withLock { if (id != null && observeBoot(id)) syncQueue() }

    private fun observeBoot(id: String): Boolean {
        val before = bootId
        if (before == id || id in previousBootIds) return false
        bootId = id
        if (before == null) return false
        log.event(Level.WARN, "target-restarted", "target" to name, "bootId" to id, "requests" to running.size) {
            "target $name restarted: boot id $before was replaced by $id; its running requests are aborted"
        }
        previousBootIds.add(before)
        restartCount++
        slots.forget()
        if (fencing && phase == TargetPhase.Ready) phase = TargetPhase.Starting
        running.keys.forEach { it.abortReason.complete(TARGET_RESTARTED) }
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

    /**
     * Returns the loads to request permits for, most urgent first. Leaves out the models in [modelsInProgress] and returns no more loads
     * than there are slots that are free or can be freed.
     */
    fun wantedLoads(modelsInProgress: Set<String>): List<LoadAsk> = lock.withLock {
        val now = env.now()
        if (phase != TargetPhase.Ready || !config.accepting) return emptyList()
        val asks =
            queue
                .parkedByModel()
                .filterKeys { it !in modelsInProgress && !slots.isChanging(it) && backoffs.isLoadAllowed(it, now) }
                .map { (model, entries) -> LoadAsk(name, model, entries.size, now - entries.minOf { it.arrivedAt }) }
                .sortedByDescending { loadUrgency(it.waiting, it.oldestMs) }
        if (asks.isEmpty()) return asks
        val idle = slots.idle(foreignPins(), popularity, now, queue::isWanted)
        val free = config.record.slots - slots.occupied
        asks
            .filter { free > 0 || chooseVictim(idle, loadMs.toLong(), it.oldestMs).handleOrNull != null }
            .take((free + idle.size - modelsInProgress.size).coerceAtLeast(0))
    }

    private fun selectVictim(
        oldestMs: Long,
        now: Long,
    ): VictimChoice = chooseVictim(slots.idle(foreignPins(), popularity, now, queue::isWanted), loadMs.toLong(), oldestMs)

    /** Returns the current permit request for [model], or null when no request waits for it any more. */
    fun askOrNull(model: String): LoadAsk? = wantedLoads(emptySet()).firstOrNull { it.adapter == model }

    /** Decides the next step of a load of [model] that has its permit, and reserves the slot or the handle to unload. */
    fun beginLoad(model: String): LoadStep = lock.withLock {
        val now = env.now()
        val entries = queue.parkedByModel()[model]
        if (phase != TargetPhase.Ready || entries.isNullOrEmpty() || slots.isChanging(model)) return LoadStep.None
        if (slots.occupied < config.record.slots) {
            return LoadStep
                .Load(
                    slots.beginLoad(model, now),
                    entries
                        .first()
                        .item.request.loraPath,
                    restartCount,
                ).also { onChange() }
        }
        val choice = selectVictim(now - entries.minOf { it.arrivedAt }, now).also { lastVictim = it }
        val handle = choice.handleOrNull?.takeIf { slots.beginUnload(it, foreignPins(), now) } ?: return LoadStep.None
        LoadStep.Unload(handle, restartCount).also { onChange() }
    }

    /** Begins to unload a handle of a previous epoch if one can be unloaded now. */
    fun beginCleanup(): LoadStep = lock.withLock {
        if (phase != TargetPhase.Ready) return LoadStep.None
        val stale = slots.idle(foreignPins(), popularity, env.now(), queue::isWanted).firstOrNull { !it.usable } ?: return LoadStep.None
        if (slots.beginUnload(stale.handle, foreignPins(), env.now())) LoadStep.Unload(stale.handle, restartCount) else LoadStep.None
    }

    /** Ends the unload of [step]; [unloaded] is null when its outcome is unknown. */
    fun endUnload(
        step: LoadStep.Unload,
        unloaded: Boolean?,
    ) = lock.withLock {
        if (step.restartCount == restartCount) slots.endUnload(step.victim, unloaded, env.now())
        syncQueue()
    }

    /** Ends the load of [step], which took [tookMs] milliseconds; [loaded] is null when its outcome is unknown. */
    fun endLoad(
        step: LoadStep.Load,
        loaded: Boolean?,
        tookMs: Long,
        detail: String,
        isEngineFault: Boolean = true,
    ) = lock.withLock {
        val model = step.handle.substringBefore('#')
        if (step.restartCount == restartCount) slots.endLoad(step.handle, loaded, env.now())
        if (loaded == true) {
            loadMs += (tookMs - loadMs) * SMOOTHING_FACTOR
            backoffs.onLoaded(model)
        } else if (isEngineFault) {
            onLoadFailed(model, detail, isOutcomeUnknown = loaded == null)
        }
        syncQueue()
    }

    private fun onLoadFailed(
        model: String,
        detail: String,
        isOutcomeUnknown: Boolean,
    ) {
        val backoff = backoffs.onFailed(model, isOutcomeUnknown, env.now())
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

    /** Records that the engine does not know [handle]. */
    fun onHandleMissing(handle: String) = lock.withLock {
        slots.missing(handle, env.now())
        syncQueue()
    }

    /** Returns the state to send to the other instances; each call takes the next sequence number. */
    fun state(): TargetState = lock.withLock {
        val isAccepting = config.accepting && (phase == TargetPhase.Ready || phase == TargetPhase.Starting)
        TargetState(
            name,
            epoch,
            ++sequence,
            isAccepting,
            slots.models(SlotPhase.Loaded),
            loadingModels(),
            running.size,
            queue.size,
            config.record.maxRunning,
            config.record.slots,
            victimRateOrNull(),
        )
    }

    /**
     * Returns the models that are loading or wait for a load permit. Without the latter, another target would load the same adapter while
     * the weight store is busy.
     */
    private fun loadingModels(): List<String> = (slots.models(SlotPhase.Loading) + queue.parkedModels()).distinct().sorted()

    private fun victimRateOrNull(): Double? = when {
        slots.occupied < config.record.slots -> 0.0
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
