/*
 * When this instance may give orders to a target. It is the holder while the store, asked lately enough, shows a set of instances in
 * which it is the one; a new holder waits until every confirmation that an older one may have has run out, plus the time within which
 * two holders must not take turns. No clocks are compared, and nothing is written to keep a lease.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.gateway.admission.Freshness

/** A confirmation of the set of instances permits orders for this long, in milliseconds. */
const val CONFIRMATION_MS = 4_000L

/** Added to each wait for timers that fire late, in milliseconds. */
private const val MARGIN_MS = 300L

/** Decides about orders for the instance [name]; [leaseMs] is the least time between orders of two holders. Not thread-safe. */
class OrderLease(
    private val name: String,
    var leaseMs: Long,
) {
    private class Holding(
        val since: Long,
        val token: Long,
    )

    private val freshness = Freshness(CONFIRMATION_MS)
    private val waitMs: Long get() = CONFIRMATION_MS + leaseMs + MARGIN_MS
    private val holdings = HashMap<String, Holding>()
    private var set = InstanceSet.EMPTY
    private var changedAt = 0L
    private var changedRevision = 0L
    private var resumed = emptySet<String>()

    /** Set while the tokens may be lower than those of an instance that held orders unseen. */
    private var hasOldTokens = false

    /** Notes that the store showed the known set at time [at], as of [revision]; the store was asked at [askedAt]. */
    fun confirm(
        at: Long,
        revision: Long,
        askedAt: Long = at,
    ) {
        if (hasOldTokens) holdings.replaceAll { _, holding -> Holding(holding.since, revision) }
        if (hasOldTokens) changedRevision = revision
        hasOldTokens = false
        freshness.confirm(at, askedAt)
    }

    /** Hash of the set that this instance knows. */
    val setHash: Long get() = set.hash

    /** Returns the time in milliseconds since the set was known to be current, or null. */
    fun ageOrNull(now: Long): Long? = freshness.ageOrNull(now)

    /**
     * Notes that another instance knew the set with [hash] to be current at time [at], which is counted back from a message of this
     * instance that it had heard, sent at [askedAt]. It only prolongs a confirmation: after a longer gap another instance could have
     * joined, held orders and left, and the set would look the same.
     */
    fun vouch(
        hash: Long,
        at: Long,
        askedAt: Long,
    ) {
        val age = freshness.ageOrNull(at) ?: return
        if (hash == set.hash && age <= CONFIRMATION_MS + leaseMs) freshness.confirm(at, askedAt)
    }

    /**
     * Notes that changes of the set may have gone unseen before [now]. After a gap in which another instance could have joined, held orders
     * and left, all waits start anew and tokens rise above whatever that one had. A watch that goes on after an outage shows every change,
     * so then nothing is missed.
     */
    fun missedChanges(now: Long) {
        val age = freshness.ageOrNull(now)
        if (age == null || age > CONFIRMATION_MS + leaseMs) restart(now)
    }

    /** Forgets the confirmations, because this process stood still for an unknown time. */
    fun forget(now: Long) = freshness.forget(now)

    /**
     * Applies the [set] that the store showed at [revision]. [resumed] holds the targets that the last process of this instance was
     * entitled to order, as its record says: the record outlived it, so nobody else can have become their holder.
     */
    fun apply(
        set: InstanceSet,
        targets: Collection<String>,
        revision: Long,
        resumed: Set<String>,
        now: Long,
    ) {
        this.set = set
        this.resumed = resumed
        changedAt = now
        changedRevision = revision
        refresh(targets)
    }

    /** Looks at [targets] again after targets came or went. Under an unchanged set a new target never had another holder. */
    fun refresh(targets: Collection<String>) {
        val held = targets.filterTo(HashSet()) { set.holderOrNull(it) == name }
        holdings.keys.retainAll(held)
        held.forEach { target ->
            holdings.getOrPut(target) {
                Holding(
                    if (target in
                        resumed
                    ) {
                        changedAt - waitMs
                    } else {
                        changedAt
                    },
                    changedRevision,
                )
            }
        }
    }

    /** Returns the fencing token for orders to [target], or null when this instance must not order it now. */
    fun tokenOrNull(
        target: String,
        now: Long,
    ): Long? {
        val holding = holdings[target] ?: return null
        return holding.token.takeIf { freshness.isFresh(now) && now >= holding.since + waitMs }
    }

    /** Returns whether this instance is or becomes the holder of [target]. */
    fun isHolder(target: String): Boolean = target in holdings

    /** Returns the targets that this instance may order now, or null while that isn't known. */
    fun settledOrNull(now: Long): Set<String>? {
        if (!freshness.isFresh(now) || name !in set.members) return null
        return holdings.filterValues { now >= it.since + waitMs }.keys.toSet()
    }

    private fun restart(now: Long) {
        changedAt = now
        resumed = emptySet()
        hasOldTokens = true
        holdings.replaceAll { _, holding -> Holding(now, holding.token) }
    }
}
