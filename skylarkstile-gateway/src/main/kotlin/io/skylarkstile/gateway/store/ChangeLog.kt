/*
 * The last changes of one kind of objects, kept so that another instance that saw an earlier revision can go on from there. A few
 * instances follow the store and the others take changes from them, since calls to the store are priced.
 */
package io.skylarkstile.gateway.store

/** Changes are kept this long, in milliseconds; an instance that is further behind asks the store. */
private const val KEPT_MS = 15_000L

/** Changes are told of themselves for this long, in milliseconds: a few reports, since one may be lost. */
private const val LATEST_MS = 1_500L

/** Contents of changes that are told of themselves, in characters; larger ones are asked for. */
private const val LATEST_CHARS = 4_000

/** Changes kept at most, which bounds the memory while many objects change. */
private const val MOST_CHANGES = 512

/**
 * Changes after some revision, up to [seen]. Entries that lapsed during an outage of the store may be written again within [returnInMs]
 * milliseconds; null when there was none.
 */
data class ChangesSince(
    val seen: Long,
    val returnInMs: Long?,
    val objects: List<StoredObject>,
)

/**
 * Remembers changes. [contentOf] returns what matters of an object; a change that leaves it as it was isn't handed on: targets repeat their
 * entries with counters that nobody here uses. Not thread-safe.
 */
class ChangeLog(
    private val contentOf: (StoredObject) -> Any?,
) {
    private class Change(
        val pageRevision: Long,
        val at: Long,
        val returnBy: Long?,
        val item: StoredObject,
    )

    private val changes = ArrayDeque<Change>()
    private val contents = HashMap<String, Any>()

    /** All changes after this revision are in the log; null before the first list. */
    private var completeAfter: Long? = null

    /** Revision of the last change that mattered. */
    var changed = 0L
        private set

    /** Begins anew with all objects of [page]. */
    fun restart(page: StorePage) {
        changes.clear()
        contents.clear()
        page.objects.forEach { item -> contentOf(item)?.let { contents[item.name] = it } }
        completeAfter = page.revision
        changed = page.revision
    }

    /** Appends the changes of [page]. */
    fun append(
        page: StorePage,
        now: Long,
        returnBy: Long?,
    ) {
        page.objects.filter(::matters).forEach { item ->
            changes.addLast(Change(page.revision, now, returnBy, item))
            changed = page.revision
        }
        while (changes.size > MOST_CHANGES || (changes.firstOrNull()?.let { now - it.at > KEPT_MS } ?: false)) drop()
    }

    /** Returns the changes after [revision] for one that knows all before, as of [seen]; null where they are no longer known. */
    fun afterOrNull(
        revision: Long,
        seen: Long,
        now: Long,
    ): ChangesSince? {
        if (revision < (completeAfter ?: return null)) return null
        val later = changes.filter { it.pageRevision > revision }
        return ChangesSince(seen, returnInMs(later, now), later.map { it.item })
    }

    /** Returns the changes of the last moments, as of [seen], for those that are about to hear of them; null when there are none, or large. */
    fun latestOrNull(
        seen: Long,
        now: Long,
    ): LatestChanges? {
        val recent = changes.filter { now - it.at <= LATEST_MS }
        if (recent.isEmpty() || recent.sumOf { it.item.spec?.length ?: 0 } > LATEST_CHARS) return null
        val after = changes.lastOrNull { now - it.at > LATEST_MS }?.pageRevision ?: completeAfter ?: return null
        val later = changes.filter { it.pageRevision > after }
        return LatestChanges(after, seen, returnInMs(later, now), later.map { SeenChange(it.pageRevision, it.item) })
    }

    private fun returnInMs(
        changes: List<Change>,
        now: Long,
    ): Long? = changes.mapNotNull { it.returnBy }.maxOrNull()?.let { maxOf(0, it - now) }

    private fun matters(item: StoredObject): Boolean {
        val content = item.spec?.let { contentOf(item) }
        val before = if (content == null) contents.remove(item.name) else contents.put(item.name, content)
        return content == null || before != content
    }

    /** Drops the oldest change with all others of the same revision, which could not be told apart any more. */
    private fun drop() {
        val revision = changes.first().pageRevision
        while (changes.firstOrNull()?.pageRevision == revision) changes.removeFirst()
        completeAfter = revision
    }
}
