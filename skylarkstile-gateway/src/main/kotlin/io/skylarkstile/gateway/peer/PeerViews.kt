/*
 * Exchanges views of the store with other instances, for each kind of object that this instance watches.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.store.ChangesSource
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.store.StoreKindView
import io.skylarkstile.gateway.store.StoreWatch
import io.skylarkstile.schema.generated.StoreView

/** An aggregator whose view is older than this is taken to have lost the store, in milliseconds. */
private const val STALE_MS = 2_200L

/** Holds the watches of all kinds and exchanges their views. Not thread-safe. */
class PeerViews {
    private val watches = LinkedHashMap<StoreKind, StoreWatch>()

    /** Adds the watch of [kind]. */
    fun add(
        kind: StoreKind,
        watch: StoreWatch,
    ) {
        watches[kind] = watch
    }

    /** Returns the watch of [kind], or null. */
    fun watchOrNull(kind: StoreKind): StoreWatch? = watches[kind]

    /** Returns the revision up to which this instance knows all changes of [kind], or null before the first list. */
    fun revisionOrNull(kind: StoreKind): Long? = watches[kind]?.revisionOrNull()

    /** Makes watches read the store again if no peer has sent a recent view. Called regularly. */
    fun tick() = watches.values.forEach { it.tick() }

    /** Discards what is known about the age of the views. */
    fun invalidate(now: Long) = watches.values.forEach { it.invalidate(now) }

    /** Returns whether all views are current. */
    fun isCurrent(now: Long): Boolean = watches.isNotEmpty() && isCurrent(storeViews(now))

    /** Returns whether an instance with these [views] can reach the store. */
    fun isCurrent(views: List<StoreView>): Boolean = watches.keys.all { kind -> views.any { it.kind == kind.name && it.ageMs <= STALE_MS } }

    /** Returns the views of this instance that are sent to others. */
    fun storeViews(now: Long): List<StoreView> = watches.values
        .mapNotNull { it.viewOrNull(now) }
        .map { view ->
            StoreView(view.kind.name, view.changed, view.seen, view.ageMs, view.latest?.after, view.latest?.let(::storeChangesOf))
        }

    /** Applies the [views] of an instance that acknowledges the own message of [requestedAt]; its changes are fetched from [source]. */
    fun receive(
        views: List<StoreView>,
        requestedAt: Long,
        source: ChangesSource,
    ) = views.forEach { view ->
        val kind = StoreKind.entries.firstOrNull { it.name == view.kind }
        if (kind != null && view.ageMs >= 0) {
            val latest = view.after?.let { after -> view.changes?.let { latestIn(it, after) } }
            val received = StoreKindView(kind, view.changed, view.seen, view.ageMs, latest)
            watches[kind]?.merge(received, requestedAt - view.ageMs, requestedAt, source)
        }
    }
}
