/*
 * Follows all objects of one kind: a list, then one watch after the other. It also tells up to which moment the view is known to be
 * current, since permissions end when that is too long ago.
 *
 * An instance that may rely on others takes their changes and confirmations instead, and asks the store again as soon as what they tell is
 * too old. The revision is the same either way, so nothing is missed or seen twice when it goes over from one to the other.
 */
package io.skylarkstile.gateway.store

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.admission.Freshness
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
 * What an instance tells of its view: all changes up to [seen] are known, the last one is of [changed], and it was current [ageMs] ago.
 * [latest] holds the changes after some earlier revision when they are small.
 */
data class KindView(
    val kind: StoreKind,
    val changed: Long,
    val seen: Long,
    val ageMs: Long,
    val latest: LatestChanges? = null,
)

/** The [changes] after revision [after], up to [seen]; [returnInMs] is that of [ChangesSince]. */
data class LatestChanges(
    val after: Long,
    val seen: Long,
    val returnInMs: Long?,
    val changes: List<SeenChange>,
) {
    /** Returns those that an instance which knows all up to [revision] hasn't seen; a removal seen twice would undo a return. */
    fun unseen(revision: Long) = ChangesSince(seen, returnInMs, changes.filter { it.seenWith > revision }.map { it.item })
}

/** A change of [item] that was seen in an answer as of revision [seenWith]. */
data class SeenChange(
    val seenWith: Long,
    val item: StoredObject,
)

/** Asks the instance that told a view for the changes after a revision; the answer is null when it can't tell them. */
typealias ChangesSource = (kind: StoreKind, after: Long, done: (ChangesSince?) -> Unit) -> Unit

/**
 * Follows [kind] with [pace]. [contentOf] returns what matters of an object to other instances; an object without is always handed on. Not
 * thread-safe.
 */
class KindWatch(
    private val kind: StoreKind,
    private val store: SharedStore,
    private val scheduler: Scheduler,
    private val listener: KindListener,
    private val pace: WatchPace,
    contentOf: (StoredObject) -> Any? = { null },
) {
    private val changeLog = ChangeLog(contentOf)
    private val current = Freshness(Long.MAX_VALUE)
    private var revision: Long? = null
    private var backoffMs = FIRST_BACKOFF_MS
    private var failedSince: Long? = null
    private var outageEndedAt: Long? = null
    private var stopped = false

    /** Number of the question under way; an answer to an earlier one is of no use any more. */
    private var question = 0L
    private var isRelying = false
    private var wasChanged = false
    private var isFetching = false

    /** Time at which the view of another instance that this one relies on was current. */
    private var toldAt: Long? = null

    /** Starts following. */
    fun start() = next()

    /** Ends following after the call under way. */
    fun stop() {
        stopped = true
    }

    /** Asks the store where nothing told is recent enough. Called regularly. */
    fun tick() {
        if (!isRelying || isToldCurrent(scheduler.now())) return
        isRelying = false
        log.event(Level.INFO, "store-asked-again", "kind" to "$kind", "revision" to revision) { "no other instance tells $kind lately" }
        next()
    }

    /** Lists all objects again, because one was found to be another than this view shows. */
    fun listAnew() {
        revision = null
        isRelying = false
        next()
    }

    /** Forgets how current the view is, because this process stood still for an unknown time. */
    fun forget(now: Long) {
        current.forget(now)
        toldAt = null
    }

    /** Returns the revision up to which all changes are known, or null while the objects are being listed. */
    fun revisionOrNull(): Long? = revision

    /** Returns what this instance can tell others, or null while its view isn't known to be current. */
    fun viewOrNull(now: Long): KindView? {
        val seen = revision ?: return null
        val ageMs = current.ageOrNull(now) ?: return null
        return KindView(kind, changeLog.changed, seen, ageMs, changeLog.latestOrNull(seen, now))
    }

    /** Returns the changes after [revision] for another instance, or null when it has to ask the store. */
    fun changesAfterOrNull(revision: Long): ChangesSince? {
        val seen = this.revision ?: return null
        return if (seen < revision) null else changeLog.afterOrNull(revision, seen, scheduler.now())
    }

    /**
     * Takes the [view] of another instance. It was current at time [at], which is counted back from a message of this instance that the
     * other had heard, sent at [askedAt]; [source] is that instance.
     */
    fun hear(
        view: KindView,
        at: Long,
        askedAt: Long,
        source: ChangesSource,
    ) {
        val now = scheduler.now()
        val known = revision ?: return
        if (stopped || view.seen < known || now - at > pace.mostAgeMs) return
        if (!pace.reliesOnPeers && (current.ageOrNull(now) ?: Long.MAX_VALUE) <= pace.mostAgeMs) return
        val latest = view.latest
        if (view.changed > known && latest != null && latest.after <= known) return fetched(latest.unseen(known), at, askedAt)
        if (view.changed > known) return fetch(at, askedAt, source)
        revision = view.seen
        confirm(at, askedAt, view.seen)
        if (pace.reliesOnPeers) rely(at)
    }

    private fun rely(at: Long) {
        toldAt = maxOf(toldAt ?: at, at)
        if (isRelying) return
        isRelying = true
        question++
        failedSince = null
        backoffMs = FIRST_BACKOFF_MS
    }

    private fun fetch(
        at: Long,
        askedAt: Long,
        source: ChangesSource,
    ) {
        if (isFetching) return
        isFetching = true
        source(kind, checkNotNull(revision)) { changes ->
            isFetching = false
            if (changes == null) failedFetch() else fetched(changes, at, askedAt)
        }
    }

    private fun failedFetch() {
        toldAt = null
        tick()
    }

    private fun fetched(
        changes: ChangesSince,
        at: Long,
        askedAt: Long,
    ) {
        if (stopped || changes.seen <= (revision ?: return)) return
        val now = scheduler.now()
        // A question under way is about an earlier revision; its answer would bring old states back.
        val wasAsking = !isRelying
        question++
        apply(StorePage(changes.objects, changes.seen), now, changes.returnInMs?.let { now + it } ?: returnByOrNull(now))
        confirm(at, askedAt, changes.seen)
        if (pace.reliesOnPeers) {
            rely(at)
        } else if (wasAsking) {
            next()
        }
    }

    private fun isToldCurrent(now: Long): Boolean = pace.reliesOnPeers && toldAt?.let { now - it <= pace.mostAgeMs } ?: false

    private fun next() {
        if (stopped || isRelying) return
        val after = revision
        val sentAt = scheduler.now()
        val asked = ++question
        // After a change the view is known to be current only as of the question, so the next answer should come sooner.
        val waitMs = if (wasChanged) pace.waitMs / CONFIRM_PARTS else pace.waitMs
        wasChanged = false
        if (after == null) {
            store.list(kind) { if (asked == question) listed(it, sentAt) }
        } else {
            store.watch(kind, after, waitMs) { if (asked == question) watched(it, sentAt, waitMs) }
        }
    }

    private fun nextAfter(delayMs: Long) {
        val asked = question
        scheduler.after(delayMs) { if (asked == question) next() }
    }

    private fun listed(
        result: StoreResult<StorePage>,
        sentAt: Long,
    ) {
        if (result !is StoreResult.Success) return failed(result)
        val now = scheduler.now()
        recovered(now)
        revision = result.value.revision
        changeLog.restart(result.value)
        listener.listed(result.value, now, returnByOrNull(now))
        confirm(sentAt, sentAt, result.value.revision)
        next()
    }

    private fun watched(
        result: StoreResult<StorePage>,
        sentAt: Long,
        waitMs: Long,
    ) {
        if (result !is StoreResult.Success) return failed(result)
        val now = scheduler.now()
        recovered(now)
        val page = result.value
        if (page.objects.isEmpty()) {
            revision = maxOf(revision ?: 0, page.revision)
            // Without a change the store answers only after the whole wait, so the view was current at least until then.
            confirm(maxOf(sentAt, minOf(now, sentAt + waitMs)), sentAt, page.revision)
            return next()
        }
        apply(page, now, returnByOrNull(now))
        confirm(sentAt, sentAt, page.revision)
        wasChanged = pace.confirmsSoon
        val pauseMs = pace.pauseMs
        if (pauseMs > 0) nextAfter(pauseMs) else next()
    }

    private fun apply(
        page: StorePage,
        now: Long,
        returnBy: Long?,
    ) {
        revision = maxOf(revision ?: 0, page.revision)
        changeLog.append(page, now, returnBy)
        if (page.objects.isNotEmpty()) listener.changed(page, now, returnBy)
    }

    private fun confirm(
        at: Long,
        askedAt: Long,
        revision: Long,
    ) {
        current.confirm(at, askedAt)
        listener.confirmed(at, askedAt, revision)
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
        nextAfter(backoffMs)
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

        /** The first watch after a change waits this part of the usual time, where others rely on the view. */
        const val CONFIRM_PARTS = 3
    }
}
