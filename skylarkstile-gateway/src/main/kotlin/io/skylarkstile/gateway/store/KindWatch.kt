/*
 * Follows all objects of one kind: a list, then one watch after the other. It also tells up to which moment the view is known to be
 * current, since permissions end when that is too long ago.
 */
package io.skylarkstile.gateway.store

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.main.Scheduler

private val log = KotlinLogging.logger {}

private const val FIRST_BACKOFF_MS = 100L
private const val LONGEST_BACKOFF_MS = 800L

/** Receives what a [KindWatch] sees. */
interface KindListener {
    /**
     * Replaces the whole view. [returnBy] is set shortly after an outage of the store: until then, entries that lapsed meanwhile may be
     * written again.
     */
    fun listed(
        page: StorePage,
        now: Long,
        returnBy: Long?,
    )

    /** Applies changes; an object without content was removed. */
    fun changed(
        page: StorePage,
        now: Long,
        returnBy: Long?,
    )

    /** Notes that the view was current at time [at], with the store at [revision], as the answer to a question of [askedAt] says. */
    fun confirmed(
        at: Long,
        askedAt: Long,
        revision: Long,
    )
}

/**
 * Follows [kind]; one watch waits at most [waitMs] milliseconds, and the next one starts [pauseMs] after a change, which bounds the calls
 * when many objects change. Not thread-safe.
 */
class KindWatch(
    private val kind: StoreKind,
    private val store: SharedStore,
    private val scheduler: Scheduler,
    private val listener: KindListener,
    private val waitMs: Long,
    private val pauseMs: Long,
) {
    private var revision: Long? = null
    private var backoffMs = FIRST_BACKOFF_MS
    private var failedSince: Long? = null
    private var outageEndedAt: Long? = null
    private var stopped = false

    /** Starts following. */
    fun start() = next()

    /** Ends following after the call under way. */
    fun stop() {
        stopped = true
    }

    private fun next() {
        if (stopped) return
        val after = revision
        val sentAt = scheduler.now()
        if (after == null) {
            store.list(kind) { listed(it, sentAt) }
        } else {
            store.watch(kind, after, waitMs) { watched(it, sentAt) }
        }
    }

    private fun listed(
        result: StoreResult<StorePage>,
        sentAt: Long,
    ) {
        if (result !is StoreResult.Success) return failed(result)
        val now = scheduler.now()
        recovered(now)
        revision = result.value.revision
        listener.listed(result.value, now, returnByOrNull(now))
        listener.confirmed(sentAt, sentAt, result.value.revision)
        next()
    }

    private fun watched(
        result: StoreResult<StorePage>,
        sentAt: Long,
    ) {
        if (result !is StoreResult.Success) return failed(result)
        val now = scheduler.now()
        recovered(now)
        val page = result.value
        revision = maxOf(revision ?: 0, page.revision)
        if (page.objects.isEmpty()) {
            // Without a change the store answers only after the whole wait, so the view was current at least until then.
            listener.confirmed(maxOf(sentAt, minOf(now, sentAt + waitMs)), sentAt, page.revision)
            return next()
        }
        listener.changed(page, now, returnByOrNull(now))
        listener.confirmed(sentAt, sentAt, result.value.revision)
        if (pauseMs > 0) scheduler.after(pauseMs) { next() } else next()
    }

    private fun failed(result: StoreResult<*>) {
        val now = scheduler.now()
        if (result == StoreResult.HistoryGone) {
            log.event(Level.INFO, "history-gone", "kind" to "$kind", "revision" to revision) { "history of $kind is gone, listing it anew" }
            revision = null
            return next()
        }
        if (failedSince == null) {
            failedSince = now
            log.event(Level.WARN, "store-lost", "kind" to "$kind", "result" to "$result") { "lost the store for $kind" }
        }
        scheduler.after(backoffMs) { next() }
        backoffMs = minOf(backoffMs * 2, LONGEST_BACKOFF_MS)
    }

    private fun recovered(now: Long) {
        backoffMs = FIRST_BACKOFF_MS
        val since = failedSince ?: return
        failedSince = null
        outageEndedAt = now
        log.event(Level.INFO, "store-regained", "kind" to "$kind", "outageMs" to now - since) { "regained the store for $kind" }
    }

    /** What is removed later than this has not lapsed because of the outage. */
    private fun returnByOrNull(now: Long): Long? = outageEndedAt?.let { it + RETURN_MS }?.takeIf { it > now }

    private companion object {
        /** Entries that lapsed during an outage of the store are back within this time of its return, in milliseconds. */
        const val RETURN_MS = 2_200L
    }
}
