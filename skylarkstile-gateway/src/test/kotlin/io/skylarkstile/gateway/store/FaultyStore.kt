/*
 * A store for tests in virtual time whose connections fail in all the ways that the platform's page names.
 */
package io.skylarkstile.gateway.store

import io.skylarkstile.gateway.main.Scheduler
import kotlin.random.Random

/** Time beyond its wait after which the client gives a call up, in milliseconds. */
private const val CALL_TIMEOUT_MS = 1_000L

/**
 * Simulates a store with one reader in virtual time, whose connections go silent or are reset, whose watches are cut off, and whose answers are
 * slow or lost. Calls use the newest connections: those that have gone silent stay so until the reader renews them.
 */
class FaultyStore(
    private val scheduler: Scheduler,
    private val random: Random,
) : ReadOnlyStore() {
    private class Pending(
        val generation: Int,
        val revision: Long,
        val done: (StoreResult<StorePage>) -> Unit,
    ) {
        var isEnded = false

        fun end(result: StoreResult<StorePage>) {
            if (isEnded) return
            isEnded = true
            done(result)
        }
    }

    private val objects = HashMap<String, StoredObject>()
    private val history = ArrayList<StoredObject>()
    private val pending = ArrayList<Pending>()
    private var revision = 1L
    private var oldest = 0L
    private var generation = 0
    private var silentUpTo = -1

    /** True while the next call opens a new connection. */
    private var isRenewed = false
    var maxLatencyMs = 4L
    var isDown = false
    var losesAnswers = false
    var calls = 0
        private set

    /** Writes the object [name]; a null [spec] removes it. */
    fun put(
        name: String,
        spec: String?,
    ) {
        val item = StoredObject(name, ++revision, spec)
        if (spec == null) objects.remove(name) else objects[name] = item
        history.add(item)
        pending.toList().forEach { answerWatch(it) }
    }

    /** Fails all waiting calls, as a store that cuts off its watches or a reset of the connections does. */
    fun cut() = pending.filter { it.generation > silentUpTo }.forEach { it.end(failed) }

    /** Makes all open connections silent for good. */
    fun silence() {
        silentUpTo = generation
    }

    /** Discards the history. */
    fun compact() {
        oldest = revision
        history.clear()
    }

    override fun renewConnections() {
        isRenewed = true
    }

    override fun list(
        kind: StoreKind,
        done: (StoreResult<StorePage>) -> Unit,
    ) = call(0, -1, done) { answer(it) { StoreResult.Success(StorePage(objects.values.toList(), revision)) } }

    override fun watch(
        kind: StoreKind,
        revision: Long,
        waitMs: Long,
        done: (StoreResult<StorePage>) -> Unit,
    ) = call(waitMs, revision, done) { call ->
        pending.removeIf { it.isEnded }
        pending.add(call)
        answerWatch(call)
        scheduler.after(waitMs) { if (pending.remove(call)) answer(call) { page(call.revision) } }
    }

    private fun answerWatch(call: Pending) {
        if (call.revision >= oldest && history.none { it.revision > call.revision }) return
        if (pending.remove(call)) answer(call) { page(call.revision) }
    }

    private fun page(after: Long): StoreResult<StorePage> =
        if (after < oldest) StoreResult.HistoryGone else StoreResult.Success(StorePage(history.filter { it.revision > after }, revision))

    private fun call(
        waitMs: Long,
        revision: Long,
        done: (StoreResult<StorePage>) -> Unit,
        arrive: (Pending) -> Unit,
    ) {
        calls++
        if (isRenewed) generation++
        isRenewed = false
        val call = Pending(generation, revision, done)
        scheduler.after(waitMs + CALL_TIMEOUT_MS) { call.end(failed) }
        scheduler.after(latency()) {
            if (isDown) {
                scheduler.after(1) { call.end(failed) }
            } else if (call.generation >
                silentUpTo
            ) {
                arrive(call)
            }
        }
    }

    private fun answer(
        call: Pending,
        result: () -> StoreResult<StorePage>,
    ) {
        if (losesAnswers && random.nextInt(3) == 0) return
        val answer = result()
        scheduler.after(latency()) { if (call.generation > silentUpTo && !isDown) call.end(answer) }
    }

    private fun latency(): Long = random.nextLong(1, maxLatencyMs + 1)

    private companion object {
        val failed = StoreResult.Failed("no answer", mayHaveApplied = false)
    }
}
