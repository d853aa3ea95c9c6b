/*
 * Keeps the recent changes of one kind of object, so that another instance can catch up from an earlier revision. Only a few instances
 * watch the store and the others get the changes from them, since each call to the store has a cost.
 */
package io.skylarkstile.gateway.store

/** Retention of changes, in milliseconds; an instance that is further behind reads the store. */
private const val RETENTION_MS = 15_000L

/** Changes are sent along with views for this long, in milliseconds: the time of a few reports, since one may be lost. */
private const val LATEST_AGE_MS = 1_500L

/** Maximum total content of changes sent along with a view, in characters; larger ones have to be fetched. */
private const val MAX_LATEST_CHARS = 4_000

/** Maximum number of changes kept, which bounds memory while many objects change. */
private const val MAX_CHANGES = 512

/**
 * Holds the changes after some revision, up to revision [seen]. Entries that expired during an outage of the store may be written again
 * within [returnInMs] milliseconds; null when there was no recent outage.
 */
data class ChangesSince(
    val seen: Long,
    val returnInMs: Long?,
    val objects: List<StoredObject>,
)

/**
 * Records changes. [contentOf] returns the relevant part of an object; a change that leaves it equal isn't recorded, since targets rewrite
 * their entries with counters that other instances don't use. Not thread-safe.
 */
class ChangeLog(
    private val contentOf: (StoredObject) -> Any?,
) {
    private class Change(
        val pageRevision: Long,
        val at: Long,
        val reappearUntil: Long?,
        val item: StoredObject,
    )

    private val changes = ArrayDeque<Change>()
    private val contents = HashMap<String, Any>()

    /** The log contains all changes after this revision; null before the first list. */
    private var completeAfter: Long? = null

    /** Revision of the last relevant change. */
    var changed = 0L
        private set

    /** Discards all changes and starts from the complete list in [page]. */
    fun restart(page: StorePage) {
        changes.clear()
        contents.clear()
        page.objects.forEach { item -> contentOf(item)?.let { contents[item.name] = it } }
        completeAfter = page.revision
        changed = page.revision
    }

    /** Appends the relevant changes of [page] and drops those past retention. */
    fun append(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        page.objects.filter(::isRelevant).forEach { item ->
            changes.addLast(Change(page.revision, now, reappearUntil, item))
            changed = page.revision
        }
        while (changes.size > MAX_CHANGES || (changes.firstOrNull()?.let { now - it.at > RETENTION_MS } ?: false)) dropOldest()
    }

    /** Returns the changes after [revision], up to [seen]; null when the log no longer contains all of them. */
    fun afterOrNull(
        revision: Long,
        seen: Long,
        now: Long,
    ): ChangesSince? {
        if (revision < (completeAfter ?: return null)) return null
        val later = changes.filter { it.pageRevision > revision }
        return ChangesSince(seen, returnInMs(later, now), later.map { it.item })
    }

    /** Returns the latest changes, up to [seen], to be sent along with the view; null when there are none or they are too large. */
    fun latestOrNull(
        seen: Long,
        now: Long,
    ): LatestChanges? {
        val recent = changes.filter { now - it.at <= LATEST_AGE_MS }
        if (recent.isEmpty() || recent.sumOf { it.item.spec?.length ?: 0 } > MAX_LATEST_CHARS) return null
        val after = changes.lastOrNull { now - it.at > LATEST_AGE_MS }?.pageRevision ?: completeAfter ?: return null
        val later = changes.filter { it.pageRevision > after }
        return LatestChanges(after, seen, returnInMs(later, now), later.map { SeenChange(it.pageRevision, it.item) })
    }

    private fun returnInMs(
        changes: List<Change>,
        now: Long,
    ): Long? = changes.mapNotNull { it.reappearUntil }.maxOrNull()?.let { maxOf(0, it - now) }

    private fun isRelevant(item: StoredObject): Boolean {
        val content = item.spec?.let { contentOf(item) }
        val before = if (content == null) contents.remove(item.name) else contents.put(item.name, content)
        return content == null || before != content
    }

    /** Drops the oldest change and all others with its page revision, because a follower's revision can't separate them. */
    private fun dropOldest() {
        val revision = changes.first().pageRevision
        while (changes.firstOrNull()?.pageRevision == revision) changes.removeFirst()
        completeAfter = revision
    }
}
