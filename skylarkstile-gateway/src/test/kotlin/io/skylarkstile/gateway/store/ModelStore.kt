package io.skylarkstile.gateway.store

import io.skylarkstile.gateway.main.Scheduler

/** One way to the store, in milliseconds. */
private const val WAY_MS = 2L

/** Time after which a call without an answer has failed, in milliseconds. */
private const val TIMEOUT_MS = 800L

/** The store as several instances use it, in virtual time; counts the calls of all of them. */
class ModelStore(
    private val scheduler: Scheduler,
) {
    private class Waiting(
        val revision: Long,
        val answer: () -> Unit,
    )

    private val history = ArrayList<StoredObject>()
    private val waiting = ArrayList<Waiting>()
    private var revision = 1L
    var calls = 0
        private set

    /** Changes the object [name]. */
    fun change(name: String) {
        history.add(StoredObject(name, ++revision, "{}"))
        waiting.toList().also { waiting.clear() }.forEach { it.answer() }
    }

    /** Returns the store as one instance sees it; calls fail while [isReachable] is false. */
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
                    val page = StorePage(history.filter { it.revision > revision }, this@ModelStore.revision)
                    scheduler.after(WAY_MS) { done(if (isReachable()) StoreResult.Success(page) else failed) }
                }
            }
            if (this@ModelStore.revision > revision) {
                answer()
            } else {
                waiting.add(Waiting(revision, answer))
                scheduler.after(waitMs, answer)
            }
        }

        private fun call(
            done: (StoreResult<StorePage>) -> Unit,
            answer: () -> Unit,
        ) {
            calls++
            if (isReachable()) scheduler.after(WAY_MS, answer) else scheduler.after(TIMEOUT_MS) { done(failed) }
        }
    }

    private companion object {
        val failed = StoreResult.Failed("no answer", mayHaveApplied = false)
    }
}
