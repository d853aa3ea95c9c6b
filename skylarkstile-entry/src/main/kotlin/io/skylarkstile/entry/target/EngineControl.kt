/*
 * Background tasks of one owned target: fencing, state reads, adapter loads and unloads.
 */
package io.skylarkstile.entry.target

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** Interval of state reads while the target is not ready. */
private const val NOT_READY_POLL_MS = 100L

/** Longest time between two checks for loads to start. */
private const val TICK_MS = 100L

/** Limit of loads that are running or requested at one engine; more would only divide its bandwidth. */
private const val LOADS_PER_TARGET = 4

/** Assumed maximum delay of a permit grant message. The load must end before the budget owner considers the permit expired. */
private const val MAX_GRANT_DELAY_MS = 1_000L

/** Polls the engine of [target] and carries out its loads and unloads until [stop]. */
internal class EngineControl(
    private val target: OwnedTarget,
    private val env: TargetEnv,
) {
    private val scope = CoroutineScope(env.scope.coroutineContext + SupervisorJob(env.scope.coroutineContext[Job]))
    private val modelsInProgress = ConcurrentHashMap.newKeySet<String>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val orderTimeoutMs = env.settings.idleTimeoutMs.toLong()

    fun start() {
        scope.launch { pollLoop() }
        scope.launch { loadLoop() }
    }

    /** Checks for loads to start without waiting for the next tick. */
    fun wakeUp() {
        wakeUps.trySend(Unit)
    }

    fun stop() = scope.cancel()

    private suspend fun pollLoop() {
        while (scope.isActive) {
            val isReady = poll()
            delay(if (isReady) env.settings.stateIntervalMs.toLong() else NOT_READY_POLL_MS)
        }
    }

    /** Raises the fencing number if needed and reads the engine state; returns whether both succeeded. */
    internal suspend fun poll(): Boolean {
        if (target.needsFence() && !fence()) return false
        val readAt = env.now()
        target.engine
            .state(env.settings.idleTimeoutMs.toLong())
            .onSuccess { target.onReport(it, readAt) }
            .onFailure {
                target.onReadFailed(it)
                return false
            }
        wakeUp()
        return !target.needsFence()
    }

    private suspend fun fence(): Boolean {
        val restartCount = target.restartCount()
        return when (val outcome = target.engine.fence(orderTimeoutMs)) {
            is OrderOutcome.Done -> {
                target.onFenced(restartCount)
                target.onBootId(outcome.bootIdOrNull)
                true
            }

            is OrderOutcome.Refused -> {
                target.onReadFailed("fencing refused: ${outcome.status} ${outcome.detail}").let { false }
            }

            is OrderOutcome.Unknown -> {
                target.onReadFailed("fencing: ${outcome.detail}").let { false }
            }
        }
    }

    private suspend fun loadLoop() {
        while (scope.isActive) {
            withTimeoutOrNull(TICK_MS) { wakeUps.receive() }
            target.refuseExpired(env.now())
            target
                .wantedLoads(modelsInProgress)
                .take((LOADS_PER_TARGET - modelsInProgress.size).coerceAtLeast(0))
                .forEach { ask -> if (modelsInProgress.add(ask.adapter)) scope.launch { requestPermitAndLoad(ask.adapter) } }
            val stale = target.beginCleanup()
            if (stale is LoadStep.Unload) scope.launch { unload(stale) }
        }
    }

    private suspend fun requestPermitAndLoad(model: String) {
        try {
            val permit = target.askOrNull(model)?.let { env.permits.acquireOrNull(it) } ?: return
            val loadMs = env.settings.loadTimeoutMs.toLong()
            val until = env.now() + maxOf(loadMs - MAX_GRANT_DELAY_MS, loadMs / 2)
            try {
                loadWithPermit(model, until)
            } finally {
                permit.release()
            }
        } finally {
            modelsInProgress.remove(model)
            wakeUp()
        }
    }

    private suspend fun loadWithPermit(
        model: String,
        until: Long,
    ) {
        var step = target.beginLoad(model)
        if (step is LoadStep.Unload) {
            unload(step)
            step = target.beginLoad(model)
        }
        when (step) {
            is LoadStep.Load -> load(step, until - env.now())
            is LoadStep.Unload -> unload(step)
            LoadStep.None -> Unit
        }
    }

    private suspend fun load(
        step: LoadStep.Load,
        timeoutMs: Long,
    ) {
        val startedAt = env.now()
        val outcome =
            withTimeoutOrNull(timeoutMs) { target.engine.load(step.handle, step.path, timeoutMs) }
                ?: OrderOutcome.Unknown("no answer within $timeoutMs ms")
        val tookMs = env.now() - startedAt
        when (outcome) {
            is OrderOutcome.Done -> {
                target.onBootId(outcome.bootIdOrNull)
                target.endLoad(step, loaded = true, tookMs, "")
            }

            is OrderOutcome.Refused -> {
                val isLocalFailure = outcome.status == 0 && !env.maySend(target.resource, target.epoch)
                target.endLoad(step, loaded = false, tookMs, "status ${outcome.status} ${outcome.detail}", isEngineFault = !isLocalFailure)
            }

            is OrderOutcome.Unknown -> {
                target.endLoad(step, loaded = null, tookMs, outcome.detail)
            }
        }
    }

    private suspend fun unload(step: LoadStep.Unload) {
        val outcome = target.engine.unload(step.victim, orderTimeoutMs)
        val unloaded =
            when (outcome) {
                is OrderOutcome.Done -> true
                is OrderOutcome.Refused -> outcome.status == 404
                is OrderOutcome.Unknown -> null
            }
        target.endUnload(step, unloaded)
    }
}
