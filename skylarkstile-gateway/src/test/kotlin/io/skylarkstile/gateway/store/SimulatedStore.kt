package io.skylarkstile.gateway.store

import io.skylarkstile.gateway.main.Scheduler

/** One-way latency to the store, in milliseconds. */
private const val ONE_WAY_MS = 2L

/** Time after which a call to an unreachable store fails, in milliseconds. */
private const val TIMEOUT_MS = 800L

/** Simulates a store that is shared by several instances, in virtual time, and counts their calls. */
class SimulatedStore(
    private val scheduler: Scheduler,
) {
    private class PendingWatch(
        val revision: Long,
        val answer: () -> Unit,
    )

    private val history = ArrayList<StoredObject>()
    private val pendingWatches = ArrayList<PendingWatch>()
    private var revision = 1L
    var calls = 0
        private set

    /** Changes the object [name]. */
    fun change(name: String) {
        history.add(StoredObject(name, ++revision, "{}"))
        pendingWatches.toList().also { pendingWatches.clear() }.forEach { it.answer() }
    }

    /** Returns a client for one instance; its calls fail while [isReachable] returns false. */
    fun client(isReachable: () -> Boolean): SharedStore = Client(isReachable)

    private inner class Client(
        private val isReachable: () -> Boolean,
    ) : ReadOnlyStore() {
        override fun list(
            kind: StoreKind,
            done: (StoreResult<StorePage>) -> Unit,
        ) = call(done) { done(StoreResult.Success(StorePage(history.toList(), revision))) }

        override fun watch(
            kind: StoreKind,
            revision: Long,
            waitMs: Long,
            done: (StoreResult<StorePage>) -> Unit,
        ) = call(done) {
            var isAnswered = false
            val answer = {
                if (!isAnswered) {
                    isAnswered = true
                    val page = StorePage(history.filter { it.revision > revision }, this@SimulatedStore.revision)
                    scheduler.after(ONE_WAY_MS) { done(if (isReachable()) StoreResult.Success(page) else failed) }
                }
            }
            if (this@SimulatedStore.revision > revision) {
                answer()
            } else {
                pendingWatches.add(PendingWatch(revision, answer))
                scheduler.after(waitMs, answer)
            }
        }

        private fun call(
            done: (StoreResult<StorePage>) -> Unit,
            answer: () -> Unit,
        ) {
            calls++
            if (isReachable()) scheduler.after(ONE_WAY_MS, answer) else scheduler.after(TIMEOUT_MS) { done(failed) }
        }
    }

    private companion object {
        val failed = StoreResult.Failed("no answer", mayHaveApplied = false)
    }
}
