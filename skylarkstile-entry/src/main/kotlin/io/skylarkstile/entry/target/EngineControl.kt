/*
 * The background work for one owned target: fencing, state reads, adapter loads and unloads.
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

/** While the target is not ready it is read this often. */
private const val STARTING_INTERVAL_MS = 100L
private const val TICK_MS = 100L

/** Loads that may be under way or asked for at one engine; more would only divide its bandwidth. */
private const val LOADS_PER_TARGET = 4

/** The grant of a permit may have been under way this long; the load must end before the budget owner counts the permit as over. */
private const val GRANT_DELAY_MS = 1_000L

/** Runs the orders of [target] until [stop]. */
internal class EngineControl(
    private val target: OwnedTarget,
    private val env: TargetEnv,
) {
    private val scope = CoroutineScope(env.scope.coroutineContext + SupervisorJob(env.scope.coroutineContext[Job]))
    private val asking = ConcurrentHashMap.newKeySet<String>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val orderTimeoutMs = env.settings.idleTimeoutMs.toLong()

    fun start() {
        scope.launch { pollLoop() }
        scope.launch { loadLoop() }
    }

    /** Looks for loads to start without waiting for the next tick. */
    fun kick() {
        wakeUps.trySend(Unit)
    }

    fun stop() = scope.cancel()

    private suspend fun pollLoop() {
        while (scope.isActive) {
            val isReady = poll()
            delay(if (isReady) env.settings.stateIntervalMs.toLong() else STARTING_INTERVAL_MS)
        }
    }

    /** Raises the fencing number where needed and reads the state; returns whether both succeeded. */
    internal suspend fun poll(): Boolean {
        if (target.needsFence() && !fence()) return false
        val readAt = env.now()
        target.engine
            .state(env.settings.idleTimeoutMs.toLong())
            .onSuccess { target.reported(it, readAt) }
            .onFailure {
                target.readFailed(it)
                return false
            }
        kick()
        return !target.needsFence()
    }

    private suspend fun fence(): Boolean {
        val boot = target.boot()
        return when (val outcome = target.engine.fence(orderTimeoutMs)) {
            is OrderOutcome.Done -> {
                target.fenced(boot)
                target.bootSeen(outcome.bootIdOrNull)
                true
            }

            is OrderOutcome.Refused -> {
                target.readFailed("fencing refused: ${outcome.status} ${outcome.detail}").let { false }
            }

            is OrderOutcome.Unknown -> {
                target.readFailed("fencing: ${outcome.detail}").let { false }
            }
        }
    }

    private suspend fun loadLoop() {
        while (scope.isActive) {
            withTimeoutOrNull(TICK_MS) { wakeUps.receive() }
            target.expire(env.now())
            target
                .wantedLoads(asking)
                .take((LOADS_PER_TARGET - asking.size).coerceAtLeast(0))
                .forEach { ask -> if (asking.add(ask.adapter)) scope.launch { loadWanted(ask.adapter) } }
            val stale = target.beginCleanup()
            if (stale is LoadStep.Unload) scope.launch { unload(stale) }
        }
    }

    private suspend fun loadWanted(model: String) {
        try {
            val permit = target.askOrNull(model)?.let { env.permits.acquireOrNull(it) } ?: return
            val loadMs = env.settings.loadTimeoutMs.toLong()
            val until = env.now() + maxOf(loadMs - GRANT_DELAY_MS, loadMs / 2)
            try {
                loadPermitted(model, until)
            } finally {
                permit.release()
            }
        } finally {
            asking.remove(model)
            kick()
        }
    }

    private suspend fun loadPermitted(
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
                target.bootSeen(outcome.bootIdOrNull)
                target.endLoad(step, loaded = true, tookMs, "")
            }

            is OrderOutcome.Refused -> {
                val isOurFault = outcome.status == 0 && !env.maySend(target.resource, target.epoch)
                target.endLoad(step, loaded = false, tookMs, "status ${outcome.status} ${outcome.detail}", isEngineFault = !isOurFault)
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
