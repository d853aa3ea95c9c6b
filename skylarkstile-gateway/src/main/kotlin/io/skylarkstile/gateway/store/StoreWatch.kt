/*
 * Follows all objects of one kind in the store with a list and then consecutive watches (long polls). It also tracks the time up to which
 * the view is known to be current, since permissions such as the order lease end when that time is too long ago. A view that hears nothing of
 * the store for too long, or whose call fails, is asked for again at once on a new connection; only if that call fails too, the store is away.
 *
 * An instance that may rely on peers applies their changes and confirmations instead, and reads the store again as soon as these are too
 * old. Both sources use the store's revisions, so no change is missed or applied twice on switching between them.
 */
package io.skylarkstile.gateway.store

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.admission.Freshness
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.main.Timer

private val log = KotlinLogging.logger {}

private const val INITIAL_BACKOFF_MS = 100L
private const val MAX_BACKOFF_MS = 800L

/**
 * A watch that isn't answered this long after the last contact with the store, in milliseconds, is given up. It is below the time after which
 * a machine whose connections went silent counts as in touch again (3 s), with room for one call on a new connection.
 */
internal const val MAX_SILENCE_MS = 2_900L

/** An answer that comes later than this after the wait of its watch is overdue, in milliseconds; the longer time holds while answers are slow. */
private const val MIN_PATIENCE_MS = 400L
private const val MAX_PATIENCE_MS = 1_000L

/** A failed call is followed by another one at once only this long after the last such failure, in milliseconds, since calls have a price. */
private const val DOUBT_INTERVAL_MS = 1_000L

/** Wait of a watch that only asks whether the store answers, in milliseconds. */
private const val PROBE_WAIT_MS = 1L

/** Receives the list and the changes that a [StoreWatch] reads. */
interface StoreListener {
    /**
     * Replaces the whole view. [reappearUntil] is set shortly after an outage of the store: until that time, entries that expired during
     * the outage may be written again.
     */
    fun onListed(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    )

    /** Applies changes; an object whose spec is null was removed. */
    fun onChanged(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    )

    /** Called when the answer to a request of [requestedAt] confirms that the view was current at time [at], at [revision] of the store. */
    fun onConfirmed(
        at: Long,
        requestedAt: Long,
        revision: Long,
    )
}

/**
 * Describes an instance's view of [kind]: it includes all changes up to revision [seen], the last of which has revision [changed], and it
 * was current [ageMs] milliseconds ago. [latest] holds the most recent changes when they are small.
 */
data class StoreKindView(
    val kind: StoreKind,
    val changed: Long,
    val seen: Long,
    val ageMs: Long,
    val latest: LatestChanges? = null,
)

/** Holds the [changes] after revision [after], up to [seen]; [returnInMs] is the same as in [ChangesSince]. */
data class LatestChanges(
    val after: Long,
    val seen: Long,
    val returnInMs: Long?,
    val changes: List<SeenChange>,
) {
    /**
     * Returns the changes that are new to an instance with all changes up to [revision]. Applying a removal twice would remove an
     * object that was created again in between.
     */
    fun unseen(revision: Long) = ChangesSince(seen, returnInMs, changes.filter { it.seenWith > revision }.map { it.item })
}

/** Holds a change of [item] that was read in a page of revision [seenWith]. */
data class SeenChange(
    val seenWith: Long,
    val item: StoredObject,
)

/** Fetches the changes after a revision from the instance that sent a view; the result is null when it can't provide them. */
typealias ChangesSource = (kind: StoreKind, after: Long, done: (ChangesSince?) -> Unit) -> Unit

/**
 * Follows [kind] with the timing of [timing]. [contentOf] returns the part of an object that is relevant to other instances; if it returns
 * null, every change is passed on. Not thread-safe.
 */
class StoreWatch(
    private val kind: StoreKind,
    private val store: SharedStore,
    private val scheduler: Scheduler,
    private val listener: StoreListener,
    private val timing: WatchTiming,
    contentOf: (StoredObject) -> Any? = { null },
) {
    private val changeLog = ChangeLog(contentOf)
    private val current = Freshness(Long.MAX_VALUE)
    private var revision: Long? = null
    private var backoffMs = INITIAL_BACKOFF_MS

    /** Time of the first failed call since the last answer; null while no call has failed. */
    private var doubtfulSince: Long? = null

    /** Time of the last failed call that wasn't part of an outage. */
    private var doubtedAt: Long? = null

    /** Time at which an outage of the store began: the first failed call and the one at once after it, on a new connection, had no answer. */
    private var failedSince: Long? = null
    private var outageEndedAt: Long? = null

    /** True while the first answer after an outage is applied. */
    private var isFirstAnswer = false
    private var stopped = false

    /** Number of the pending request; answers to earlier requests are ignored. */
    private var requestNumber = 0L

    /** Last time at which the store, or a peer that had asked it, is known to have answered. */
    private var contactAt: Long? = null
    private var patienceMs = MIN_PATIENCE_MS
    private var overdueTimer: Timer? = null
    private var followsPeers = false
    private var hadChanges = false
    private var isFetching = false

    /** Time at which the last applied view of a peer was current. */
    private var peerViewAt: Long? = null

    /** Starts following. */
    fun start() = requestNext()

    /** Stops following; the pending call is the last one. */
    fun stop() {
        stopped = true
    }

    /** Asks the store again if the last view of a peer is too old. Called regularly. */
    fun tick() {
        if (!followsPeers || isPeerViewCurrent(scheduler.now())) return
        followsPeers = false
        log.event(Level.INFO, "store-asked-again", "kind" to "$kind", "revision" to revision) { "no recent view of $kind from a peer" }
        requestNext()
    }

    /** Lists all objects again. Called when an object turns out to differ from this view. */
    fun relist() {
        revision = null
        followsPeers = false
        requestNext()
    }

    /** Discards what is known about the view's age, because the process was suspended for an unknown time. */
    fun invalidate(now: Long) {
        current.invalidate(now)
        contactAt = null
        peerViewAt = null
    }

    /** Returns the revision up to which all changes are applied, or null while the objects are being listed. */
    fun revisionOrNull(): Long? = revision

    /** Returns the view to send to other instances, or null while its age isn't known. */
    fun viewOrNull(now: Long): StoreKindView? {
        val seen = revision ?: return null
        val ageMs = current.ageOrNull(now) ?: return null
        return StoreKindView(kind, changeLog.changed, seen, ageMs, changeLog.latestOrNull(seen, now))
    }

    /** Returns the changes after [revision] for another instance, or null when that instance has to read the store. */
    fun changesAfterOrNull(revision: Long): ChangesSince? {
        val seen = this.revision ?: return null
        return if (seen < revision) null else changeLog.afterOrNull(revision, seen, scheduler.now())
    }

    /**
     * Merges the [view] of another instance. It was current at time [at], which is [StoreKindView.ageMs] before [requestedAt], when this
     * instance sent the message that the other one acknowledges. Changes are fetched from [source], the sender of the view.
     */
    fun merge(
        view: StoreKindView,
        at: Long,
        requestedAt: Long,
        source: ChangesSource,
    ) {
        val now = scheduler.now()
        val known = revision ?: return
        if (stopped || view.seen < known || now - at > timing.maxPeerViewAgeMs) return
        if (!timing.reliesOnPeers && (current.ageOrNull(now) ?: Long.MAX_VALUE) <= timing.maxPeerViewAgeMs) return
        val latest = view.latest
        if (view.changed > known && latest != null && latest.after <= known) return fetched(latest.unseen(known), at, requestedAt)
        if (view.changed > known) return fetch(at, requestedAt, source)
        revision = view.seen
        confirm(at, requestedAt, view.seen)
        if (timing.reliesOnPeers) followPeers(at)
    }

    private fun followPeers(at: Long) {
        peerViewAt = maxOf(peerViewAt ?: at, at)
        if (followsPeers) return
        followsPeers = true
        requestNumber++
        overdueTimer?.cancel()
        doubtfulSince = null
        failedSince = null
        backoffMs = INITIAL_BACKOFF_MS
    }

    private fun fetch(
        at: Long,
        requestedAt: Long,
        source: ChangesSource,
    ) {
        if (isFetching) return
        isFetching = true
        source(kind, checkNotNull(revision)) { changes ->
            isFetching = false
            if (changes == null) fetchFailed() else fetched(changes, at, requestedAt)
        }
    }

    private fun fetchFailed() {
        peerViewAt = null
        tick()
    }

    private fun fetched(
        changes: ChangesSince,
        at: Long,
        requestedAt: Long,
    ) {
        if (stopped || changes.seen <= (revision ?: return)) return
        val now = scheduler.now()
        // A pending watch is about an earlier revision, and its answer would restore old states; it is ignored from now on.
        val wasWatching = !followsPeers
        requestNumber++
        isFirstAnswer = false
        apply(StorePage(changes.objects, changes.seen), now, changes.returnInMs?.let { now + it } ?: returnByOrNull(now))
        confirm(at, requestedAt, changes.seen)
        if (timing.reliesOnPeers) {
            followPeers(at)
        } else if (wasWatching) {
            requestNext()
        }
    }

    private fun isPeerViewCurrent(now: Long): Boolean =
        timing.reliesOnPeers && peerViewAt?.let { now - it <= timing.maxPeerViewAgeMs } ?: false

    private fun requestNext() {
        if (stopped || followsPeers) return
        val after = revision
        val sentAt = scheduler.now()
        val thisRequest = ++requestNumber
        // An answer with changes confirms the view only as of the time of the request, so the next answer should come sooner.
        val usualMs = if (hadChanges) timing.waitMs / CONFIRM_WAIT_DIVISOR else timing.waitMs
        hadChanges = false
        val waitMs = minOf(usualMs, longestWaitMs(sentAt))
        overdueTimer?.cancel()
        if (after == null) {
            store.list(kind) { if (thisRequest == requestNumber) listed(it, sentAt) }
        } else {
            store.watch(kind, after, waitMs) { if (thisRequest == requestNumber) watched(it, sentAt, waitMs) }
            if (doubtfulSince == null) overdueTimer = scheduler.after(waitMs + patienceMs) { if (thisRequest == requestNumber) overdue() }
        }
    }

    /** Returns the longest wait after which a silent connection is still found in time; a call after a failure asks only for an answer. */
    private fun longestWaitMs(now: Long): Long {
        val contact = contactAt?.takeIf { doubtfulSince == null } ?: return PROBE_WAIT_MS
        return maxOf(PROBE_WAIT_MS, MAX_SILENCE_MS - patienceMs - (now - contact))
    }

    private fun overdue() {
        log.event(Level.INFO, "store-silent", "kind" to "$kind", "revision" to revision) { "a watch of $kind is overdue, asking again" }
        failed(StoreResult.Failed("overdue", false))
    }

    private fun requestNextAfter(delayMs: Long) {
        val thisRequest = requestNumber
        scheduler.after(delayMs) { if (thisRequest == requestNumber) requestNext() }
    }

    private fun listed(
        result: StoreResult<StorePage>,
        sentAt: Long,
    ) {
        if (result !is StoreResult.Success) return failed(result)
        val now = scheduler.now()
        recovered(now, sentAt)
        revision = result.value.revision
        changeLog.restart(result.value)
        listener.onListed(result.value, now, returnByOrNull(now))
        confirm(sentAt, sentAt, result.value.revision)
        requestNext()
    }

    private fun watched(
        result: StoreResult<StorePage>,
        sentAt: Long,
        waitMs: Long,
    ) {
        if (result !is StoreResult.Success) return failed(result)
        val now = scheduler.now()
        recovered(now, sentAt + waitMs)
        val page = result.value
        if (page.objects.isEmpty()) {
            revision = maxOf(revision ?: 0, page.revision)
            // Without a change the store answers only after the whole wait, so the view was current at least until its end.
            confirm(maxOf(sentAt, minOf(now, sentAt + waitMs)), sentAt, page.revision)
            return requestNext()
        }
        apply(page, now, returnByOrNull(now))
        confirm(sentAt, sentAt, page.revision)
        hadChanges = timing.confirmsSoon
        // Soon after an outage, a removal that is read late would leave too little of its grace.
        val pauseMs = if (returnByOrNull(now) == null) timing.pauseMs else 0
        if (pauseMs > 0) requestNextAfter(pauseMs) else requestNext()
    }

    private fun apply(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        revision = maxOf(revision ?: 0, page.revision)
        changeLog.append(page, now, reappearUntil)
        if (page.objects.isNotEmpty()) listener.onChanged(page, now, reappearUntil)
    }

    private fun confirm(
        at: Long,
        requestedAt: Long,
        revision: Long,
    ) {
        current.confirm(at, requestedAt)
        contactAt = maxOf(contactAt ?: at, at)
        listener.onConfirmed(at, requestedAt, revision)
    }

    private fun failed(result: StoreResult<*>) {
        val now = scheduler.now()
        if (result == StoreResult.HistoryGone) {
            log.event(Level.INFO, "history-gone", "kind" to "$kind", "revision" to revision) { "history of $kind is gone, listing again" }
            revision = null
            return requestNext()
        }
        store.renewConnections()
        val since = doubtfulSince
        if (since == null) {
            // The store may cut off a watch at any time, and a connection may be silent while new ones work.
            doubtfulSince = now
            val isRepeated = doubtedAt?.let { now - it < DOUBT_INTERVAL_MS } ?: false
            doubtedAt = now
            return if (isRepeated) requestNextAfter(INITIAL_BACKOFF_MS) else requestNext()
        }
        if (failedSince == null) {
            failedSince = since
            log.event(Level.WARN, "store-lost", "kind" to "$kind", "result" to "$result") { "store calls for $kind fail" }
        }
        requestNextAfter(backoffMs)
        backoffMs = minOf(backoffMs * 2, MAX_BACKOFF_MS)
    }

    /** Records an answer of the store that was due at [dueAt]. */
    private fun recovered(
        now: Long,
        dueAt: Long,
    ) {
        contactAt = now
        patienceMs = (2 * (now - dueAt)).coerceIn(MIN_PATIENCE_MS, MAX_PATIENCE_MS)
        doubtfulSince = null
        overdueTimer?.cancel()
        backoffMs = INITIAL_BACKOFF_MS
        isFirstAnswer = failedSince != null
        val since = failedSince ?: return
        failedSince = null
        outageEndedAt = now
        log.event(Level.INFO, "store-regained", "kind" to "$kind", "outageMs" to now - since) { "store answers for $kind again" }
    }

    /**
     * Returns the time until which a removal may be caused by the last outage, or null when that time has passed. What is removed only after
     * the first answer may as well be gone for good.
     */
    private fun returnByOrNull(now: Long): Long? {
        val returnBy = outageEndedAt?.let { it + REAPPEARANCE_MS }?.takeIf { it > now } ?: return null
        return if (isFirstAnswer) returnBy else minOf(returnBy, now + timing.removalGraceMs)
    }

    private companion object {
        /** Entries that expired during an outage of the store are written again within this time after its end, in milliseconds. */
        const val REAPPEARANCE_MS = 2_200L

        /** Where others rely on the view, the first watch after a change waits for the usual time divided by this. */
        const val CONFIRM_WAIT_DIVISOR = 3
    }
}
