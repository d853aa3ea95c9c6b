/*
 * What other instances may tell of the store: the views of the kinds that this instance follows.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.store.ChangesSource
import io.skylarkstile.gateway.store.KindView
import io.skylarkstile.gateway.store.KindWatch
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.schema.generated.StoreView

/** An aggregator whose view of the store is older than this can't see it, in milliseconds. */
private const val BLIND_MS = 2_200L

/** Holds the watches of all kinds. Not thread-safe. */
class PeerViews {
    private val watches = LinkedHashMap<StoreKind, KindWatch>()

    /** Adds the watch of [kind]. */
    fun add(
        kind: StoreKind,
        watch: KindWatch,
    ) {
        watches[kind] = watch
    }

    /** Returns the watch of [kind], or null. */
    fun watchOrNull(kind: StoreKind): KindWatch? = watches[kind]

    /** Returns the revision up to which this instance knows all changes of [kind], or null before the first list. */
    fun revisionOrNull(kind: StoreKind): Long? = watches[kind]?.revisionOrNull()

    /** Lets the watches go on where nothing was told lately. Called regularly. */
    fun tick() = watches.values.forEach { it.tick() }

    /** Forgets how current the views are. */
    fun forget(now: Long) = watches.values.forEach { it.forget(now) }

    /** Returns whether all views are current. */
    fun isCurrent(now: Long): Boolean = watches.isNotEmpty() && isCurrent(told(now))

    /** Returns whether [views] of an instance show that it sees the store. */
    fun isCurrent(views: List<StoreView>): Boolean = watches.keys.all { kind -> views.any { it.kind == kind.name && it.ageMs <= BLIND_MS } }

    /** Returns what can be told to others. */
    fun told(now: Long): List<StoreView> = watches.values
        .mapNotNull { it.viewOrNull(now) }
        .map { view ->
            StoreView(view.kind.name, view.changed, view.seen, view.ageMs, view.latest?.after, view.latest?.let(::toldOf))
        }

    /** Takes the [views] of an instance that had heard the message sent at [askedAt]; [source] hands out its changes. */
    fun hear(
        views: List<StoreView>,
        askedAt: Long,
        source: ChangesSource,
    ) = views.forEach { view ->
        val kind = StoreKind.entries.firstOrNull { it.name == view.kind }
        if (kind != null && view.ageMs >= 0) {
            val latest = view.after?.let { after -> view.changes?.let { latestIn(it, after) } }
            val heard = KindView(kind, view.changed, view.seen, view.ageMs, latest)
            watches[kind]?.hear(heard, askedAt - view.ageMs, askedAt, source)
        }
    }
}
