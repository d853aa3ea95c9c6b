/*
 * Runs one key range that this instance owns: guards its state machine with a lock, performs its platform operations and starts its
 * calls.
 */
package io.skylarkstile.entry.ledger

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.ledger.LedgerEffect
import io.skylarkstile.core.ledger.LedgerOp
import io.skylarkstile.core.ledger.LedgerOpResult
import io.skylarkstile.core.ledger.LedgerRange
import io.skylarkstile.core.ledger.RunResult
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.LedgerCall
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private val log = KotlinLogging.logger {}

/** Describes the state of a range in the state dump. */
@Serializable
data class LedgerRangeState(
    val range: Int,
    val epoch: Long,
    val serving: Boolean,
    val fenced: Boolean,
    val keys: Int,
    val waiting: Int,
)

internal class OwnedRange(
    private val range: Int,
    private val epoch: Long,
    private val env: LedgerEnv,
    private val scope: CoroutineScope,
) {
    private class Attempt(
        val call: LedgerCall,
        val key: LedgerKey,
        val deadline: Long,
    ) {
        val answer = CompletableDeferred<LedgerAnswer>()
    }

    private val lock = ReentrantLock()
    private val store = LedgerStore(env.store, range)
    private val attempts = ConcurrentHashMap<Long, Attempt>()
    private val attemptNumbers = AtomicLong()
    private val workSignal = Channel<Unit>(Channel.CONFLATED)
    private var ledger = newLedger()

    @Volatile
    private var released = false
    private val job = scope.launch { runOperations() }

    suspend fun call(
        call: LedgerCall,
        key: LedgerKey,
    ): LedgerAnswer {
        val number = attemptNumbers.incrementAndGet()
        val attempt = Attempt(call, key, env.clock() + call.deadlineMs)
        attempts[number] = attempt
        try {
            transition { it.call(env.wallClock(), number, key.key, key.bodyHash) }
            return withTimeoutOrNull(call.deadlineMs) { attempt.answer.await() } ?: giveUp(number, attempt)
        } finally {
            // The attempt is unanswered here only when this call was cancelled; the state machine then drops it.
            if (attempts.remove(number) != null && !attempt.answer.isCompleted) lock.withLock { ledger.giveUpOrNull(number, key.key) }
        }
    }

    /** Stops starting calls. Running calls continue and answer their callers. */
    fun release() {
        released = true
        transition { it.release() }
        job.cancel()
    }

    fun state(): LedgerRangeState =
        lock.withLock { LedgerRangeState(range, epoch, ledger.isServing, ledger.isFenced, ledger.keys, ledger.waiting) }

    private suspend fun giveUp(
        number: Long,
        attempt: Attempt,
    ): LedgerAnswer {
        val reply = lock.withLock { ledger.giveUpOrNull(number, attempt.key.key) }
        // No reply means that the outcome was decided meanwhile and is about to arrive, unless the state machine was replaced.
        return reply?.toAnswer() ?: withTimeoutOrNull(DECIDED_ANSWER_TIMEOUT_MS) { attempt.answer.await() }
            ?: unknown("the key range was reopened during the call")
    }

    private fun newLedger() = LedgerRange(env.self, epoch, "${env.self}-$epoch-${UUID.randomUUID()}-", env.limits)

    private inline fun transition(decision: (LedgerRange) -> List<LedgerEffect>) {
        val effects = lock.withLock { decision(ledger).map { it to ledger } }
        workSignal.trySend(Unit)
        effects.forEach { (effect, source) -> perform(effect, source) }
    }

    private fun perform(
        effect: LedgerEffect,
        source: LedgerRange,
    ) {
        when (effect) {
            is LedgerEffect.Answer -> attempts[effect.attempt]?.answer?.complete(effect.reply.toAnswer())
            is LedgerEffect.Run -> scope.launch { run(effect, source) }
        }
    }

    private suspend fun run(
        effect: LedgerEffect.Run,
        source: LedgerRange,
    ) {
        val attempt = attempts[effect.attempt]
        val result =
            if (attempt == null) {
                RunResult.NotSent("the caller disconnected")
            } else {
                runOnce(attempt)
            }
        val effects = lock.withLock { source.ran(effect.key, result) }
        workSignal.trySend(Unit)
        effects.forEach { perform(it, source) }
    }

    private suspend fun runOnce(attempt: Attempt): RunResult = try {
        env.caller.run(attempt.call, maxOf(1, attempt.deadline - env.clock()), ::maySend)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        // It is unknown whether a byte was sent, so the outcome is unknown too.
        log.event(Level.ERROR, "service-call-failed", "requestId" to attempt.call.requestId, "service" to attempt.call.service, cause = e) {
            "a service call failed unexpectedly"
        }
        RunResult.NoAnswer("the call failed: ${e.message}")
    }

    private fun maySend(): Boolean = !released && env.mayAct(range, epoch)

    /** Performs platform operations one after the other. A fenced range that this instance still owns is reopened. */
    private suspend fun runOperations() {
        var backoffMs = 0L
        while (scope.isActive) {
            if (lock.withLock { ledger.isFenced } && !reopen()) continue
            val op = lock.withLock { ledger.nextOp(env.clock(), env.wallClock()) }
            if (op == null) {
                awaitWork()
                continue
            }
            val result = perform(op)
            transition { it.completed(env.clock(), env.wallClock(), result) }
            backoffMs = if (result == LedgerOpResult.Failed) (backoffMs * 2).coerceIn(MIN_BACKOFF_MS, MAX_BACKOFF_MS) else 0
            delay(backoffMs)
        }
    }

    private suspend fun perform(op: LedgerOp): LedgerOpResult = try {
        store.perform(op)
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.event(Level.ERROR, "ledger-operation-failed", "range" to range, cause = e) { "an operation of ledger range $range failed" }
        val isRead = op is LedgerOp.ReadHead || op is LedgerOp.ReadSegment
        if (isRead) LedgerOpResult.Failed else LedgerOpResult.Uncertain
    }

    private suspend fun awaitWork() {
        val hasWork = lock.withLock { ledger.hasWork }
        withTimeoutOrNull(if (hasWork) BUSY_PAUSE_MS else IDLE_PAUSE_MS) { workSignal.receive() }
        if (hasWork) delay(1)
    }

    private suspend fun reopen(): Boolean {
        delay(REOPEN_DELAY_MS)
        val held = (env.ownership(range) as? Ownership.Held)?.epoch == epoch
        if (released || !held) return false
        log.event(Level.INFO, "ledger-range-reopened", "range" to range, "epoch" to epoch) { "ledger range $range was reopened" }
        lock.withLock { ledger = newLedger() }
        return true
    }

    private companion object {
        const val BUSY_PAUSE_MS = 10L
        const val IDLE_PAUSE_MS = 1_000L
        const val MIN_BACKOFF_MS = 50L

        /** Limits how long a call waits for its `not-run` answer while the platform is unavailable. */
        const val MAX_BACKOFF_MS = 400L
        const val REOPEN_DELAY_MS = 1_000L
        const val DECIDED_ANSWER_TIMEOUT_MS = 1_000L
    }
}
