/*
 * Decides when this instance may give orders to a target. It is the holder if the instance set computes it as such and was recently
 * confirmed by the store. A new holder waits until every confirmation that an earlier holder may have has expired, plus the required
 * minimum time between orders of two holders. Clocks of instances are never compared, and nothing is written to renew a lease.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.gateway.admission.Freshness

/** Time for which a confirmation of the instance set permits orders, in milliseconds. */
const val CONFIRMATION_MS = 4_000L

/** Margin added to each wait because timers may fire late, in milliseconds. */
private const val MARGIN_MS = 300L

/** Permits orders of the instance [name]; [leaseMs] is the minimum time between orders of two holders in ms. Not thread-safe. */
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

    /** True while the tokens may be lower than those of an instance that was the holder without this instance seeing it. */
    private var hasStaleTokens = false

    /** Records that the store confirmed the known set at time [at], as of [revision], in answer to a request sent at [requestedAt]. */
    fun confirm(
        at: Long,
        revision: Long,
        requestedAt: Long = at,
    ) {
        if (hasStaleTokens) holdings.replaceAll { _, holding -> Holding(holding.since, revision) }
        if (hasStaleTokens) changedRevision = revision
        hasStaleTokens = false
        freshness.confirm(at, requestedAt)
    }

    /** Hash of the instance set known to this instance. */
    val setHash: Long get() = set.hash

    /** Returns the time in milliseconds since the set was last known to be current, or null if it never was. */
    fun confirmationAgeOrNull(now: Long): Long? = freshness.ageOrNull(now)

    /**
     * Records that another instance knew the set with [hash] to be current at time [at], which is calculated from a message that this
     * instance sent at [requestedAt] and the other one received. It only extends a confirmation: during a longer gap another instance could
     * have joined, given orders and left, and the set would look the same.
     */
    fun confirmByPeer(
        hash: Long,
        at: Long,
        requestedAt: Long,
    ) {
        val age = freshness.ageOrNull(at) ?: return
        if (hash == set.hash && age <= CONFIRMATION_MS + leaseMs) freshness.confirm(at, requestedAt)
    }

    /**
     * Records that changes of the set may have been missed before [now]. After a gap in which another instance could have joined, given
     * orders and left, all waits start again and the tokens rise above any that it had. Not called when a watch resumes after an outage,
     * because it delivers every change.
     */
    fun missedChanges(now: Long) {
        val age = freshness.ageOrNull(now)
        if (age == null || age > CONFIRMATION_MS + leaseMs) restart(now)
    }

    /** Discards the confirmations, because this process was suspended for an unknown time. */
    fun invalidate(now: Long) = freshness.invalidate(now)

    /**
     * Applies the [set] read from the store at [revision]. [resumed] holds the targets to which the previous process of this instance was
     * permitted to give orders, according to its record: the record still exists, so no other instance can have become their holder.
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

    /** Updates the held targets after [targets] has changed. Under an unchanged set a new target never had another holder. */
    fun refresh(targets: Collection<String>) {
        val held = targets.filterTo(HashSet()) { set.orderHolderOrNull(it) == name }
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

    /** Returns the fencing token for orders to [target], or null if this instance must not give it orders at [now]. */
    fun tokenOrNull(
        target: String,
        now: Long,
    ): Long? {
        val holding = holdings[target] ?: return null
        return holding.token.takeIf { freshness.isFresh(now) && now >= holding.since + waitMs }
    }

    /** Returns whether this instance is the holder of [target] or will be after the wait. */
    fun isHolder(target: String): Boolean = target in holdings

    /** Returns the targets to which this instance may give orders at [now], or null if that is unknown. */
    fun orderableTargetsOrNull(now: Long): Set<String>? {
        if (!freshness.isFresh(now) || name !in set.members) return null
        return holdings.filterValues { now >= it.since + waitMs }.keys.toSet()
    }

    private fun restart(now: Long) {
        changedAt = now
        resumed = emptySet()
        hasStaleTokens = true
        holdings.replaceAll { _, holding -> Holding(now, holding.token) }
    }
}
