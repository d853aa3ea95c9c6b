/*
 * Rate limiting of one workspace's calls on one instance. The fleet-wide rate is split in proportion to the demand that instances report
 * to each other, so no call waits for a peer and a workspace that sends several times its rate is held to it. An instance that receives no
 * reports keeps its last share, so the shares still add up to at most the rate.
 *
 * Each instance also estimates the fleet-wide token bucket from the admissions that the others report. In a small fleet, a call that
 * exceeds the share is admitted if that bucket holds enough tokens: otherwise a few large calls would exhaust the share of the instance
 * that receives them although the workspace is below its rate. In a large fleet reports arrive too late for that, so one instance grants
 * tokens from its estimate of the bucket, and the share only decides calls for which that instance doesn't answer.
 */
package io.skylarkstile.gateway.admission

import io.skylarkstile.gateway.model.TokenRate
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/** Time constant of the decaying demand estimate in milliseconds: long enough to smooth single calls, short enough to follow a burst. */
private const val DEMAND_TIME_CONSTANT_MS = 2_000.0

/** Minimum fraction of the rate that is split evenly, so that an instance without recent demand can admit its first calls. */
private const val MIN_EVEN_FRACTION = 0.05

/** Fraction of the tolerated excess that is added to the burst of the shares; the rest covers instances that restart with a full share. */
private const val BURST_TOLERANCE_FRACTION = 0.4

/** Fraction of the tolerated excess that all instances together may admit beyond their shares between two exchanges of reports. */
private const val UNREPORTED_TOLERANCE_FRACTION = 0.4

/** Defines the excess tolerated in a window of [windowMs] milliseconds: the fraction [overage] of rate and burst, plus [slack] tokens. */
data class QuotaTolerance(
    val overage: Double,
    val slack: Double,
    val windowMs: Long,
)

/**
 * Describes the fleet as this instance knows it: the number of [instances], whether all of them have reported recently, and whether they
 * report directly to each other, so that admissions become known at once.
 */
data class FleetStatus(
    val instances: Int,
    val isComplete: Boolean,
    val isDirect: Boolean = true,
)

/**
 * Captures what an admission was decided by: this instance's [fraction] of the rate from 0 to 1, its bucket [level] in tokens, the
 * [fleetLevel] of the fleet-wide bucket or null if unknown, and the tokens [admittedBeyondShare] since the last rebalancing.
 */
data class ShareState(
    val fraction: Double,
    val level: Double,
    val fleetLevel: Double?,
    val admittedBeyondShare: Double,
)

/** Admits calls of one workspace against this instance's token bucket and the estimated fleet-wide one. Not thread-safe. */
class WorkspaceShare(
    rate: TokenRate,
    startedAt: Long,
    instances: Int,
    var tolerance: QuotaTolerance,
) {
    var rate: TokenRate = rate
        private set
    private var fraction = 1.0 / max(1, instances)

    /** Bucket capacity in tokens. The shares fill unevenly, so together they may have part of the tolerated excess on top of the burst. */
    private val capacity: Double get() = (rate.burst + BURST_TOLERANCE_FRACTION * excess) * fraction
    private val excess: Double
        get() = tolerance.overage * (rate.perSecond * tolerance.windowMs / MS_PER_S + rate.burst) + tolerance.slack
    private var level = capacity
    private var refilledAt = startedAt
    private var fleetLevel = 0.0
    private var isFleetKnown = false
    private var instances = max(1, instances)

    /** Tokens admitted beyond the share that haven't been reported to the other instances yet. */
    private var admittedBeyondShare = 0.0
    private var isDirect = true

    /** Tokens that refused calls were to retry for, according to their Retry-After, minus those refilled since. */
    private var promisedTokens = 0.0
    private var promisedAt = startedAt

    /** Tokens admitted since the start of the process. */
    var admitted = 0L
        private set
    private var decayedDemand = 0.0
    private var decayedAt = startedAt

    /** Applies a changed [rate]; tokens above the capacity under the new burst are lost. */
    fun changeRate(
        now: Long,
        rate: TokenRate,
    ) {
        refill(now)
        this.rate = rate
        level = min(level, capacity)
    }

    /** Takes [cost] tokens, or returns false if neither the share nor the fleet-wide bucket allows it. Large calls leave a debt. */
    fun admit(
        now: Long,
        cost: Int,
    ): Boolean {
        recordDemand(now, cost)
        refill(now)
        val fits = level >= min(cost.toDouble(), capacity / 2)
        if (!fits && !fitsFleetBucket(cost)) return false
        if (!fits) admittedBeyondShare += cost
        level = if (fits) level - cost else max(level - cost, -capacity)
        fleetLevel -= cost
        admitted += cost
        return true
    }

    /** Adds a call of [cost] tokens to the demand estimate; [admit] already does this. */
    fun recordDemand(
        now: Long,
        cost: Int,
    ) {
        decayedDemand = decayedDemandAt(now) + cost
        decayedAt = now
    }

    /** Empties the share after another instance answered from the fleet-wide bucket, so that the same tokens aren't spent twice. */
    fun drainBucket(now: Long) {
        refill(now)
        level = min(level, 0.0)
    }

    /**
     * Takes [cost] tokens from the fleet-wide bucket for a call on any instance. Returns null if they are granted, otherwise the delay in
     * milliseconds before the call should be retried. The delay grows with each refused call, because otherwise all of them would retry
     * for the same tokens.
     */
    fun grant(
        now: Long,
        cost: Int,
    ): Long? {
        refill(now)
        promisedTokens = max(0.0, promisedTokens - (now - promisedAt) / MS_PER_S * rate.perSecond)
        promisedAt = now
        if (fleetLevel >= min(cost.toDouble(), rate.burst)) {
            fleetLevel -= cost
            admitted += cost
            return null
        }
        promisedTokens += cost
        val wait = max(promisedTokens, cost - fleetLevel) / max(1.0, rate.perSecond) * MS_PER_S
        return min(wait.toLong(), MAX_WAIT_MS)
    }

    /** Returns whether the fleet-wide bucket has [cost] tokens. Until rebalancing, only the first such call may exceed the tolerance. */
    private fun fitsFleetBucket(cost: Int): Boolean {
        val isWithinTolerance =
            admittedBeyondShare == 0.0 || admittedBeyondShare + cost <= UNREPORTED_TOLERANCE_FRACTION * excess / instances
        return isDirect && isFleetKnown && fleetLevel >= cost && isWithinTolerance
    }

    /** Returns the state that decided the last admission. */
    fun state() = ShareState(fraction, level, fleetLevel.takeIf { isFleetKnown }, admittedBeyondShare)

    /** Deducts [tokens] that other instances have admitted from the fleet-wide bucket. */
    fun deductFromFleet(
        now: Long,
        tokens: Long,
    ) {
        refill(now)
        // Bounded below: sums that omit a group for a while and then include it again would otherwise block the workspace for good.
        fleetLevel = (fleetLevel - tokens).coerceIn(-(rate.burst + excess), rate.burst)
    }

    /** Returns the [cost] tokens of a call that did not run. */
    fun refund(
        now: Long,
        cost: Int,
    ) {
        refill(now)
        level = min(level + cost, capacity)
        fleetLevel = min(fleetLevel + cost, rate.burst)
        admitted -= cost
    }

    /** Returns the delay in milliseconds after which a call of [cost] tokens is likely to be admitted. */
    fun retryAfterMs(
        now: Long,
        cost: Int,
    ): Long {
        refill(now)
        val missing = min(cost.toDouble(), capacity / 2) - level
        return (max(0.0, missing) / max(1.0, rate.perSecond * fraction) * MS_PER_S).toLong()
    }

    /** Returns the estimated demand on this instance in tokens per second. */
    fun demand(now: Long): Double = decayedDemandAt(now) / DEMAND_TIME_CONSTANT_MS * MS_PER_S

    /**
     * Recomputes this instance's fraction of the rate from the demand of all instances; [elsewhere] is the last reported demand of the
     * other instances of [fleet] in tokens per second. The part of the rate for which there is no demand is split evenly.
     */
    fun rebalance(
        now: Long,
        elsewhere: Double,
        fleet: FleetStatus,
    ) {
        refill(now)
        // After a start or missed reports the tokens spent meanwhile are unknown, so the fleet-wide bucket refills from empty.
        if (fleet.isDirect && fleet.isComplete && !isFleetKnown) fleetLevel = min(fleetLevel, 0.0)
        isFleetKnown = fleet.isComplete
        isDirect = fleet.isDirect
        instances = max(1, fleet.instances)
        admittedBeyondShare = 0.0
        val demand = demand(now)
        val total = demand + elsewhere
        val spare = max(rate.perSecond - total, rate.perSecond * MIN_EVEN_FRACTION)
        val previous = fraction
        fraction = (demand + spare / instances) / (total + spare)
        if (fraction < previous) level *= fraction / previous
        level = min(level, capacity)
    }

    private fun decayedDemandAt(now: Long): Double = decayedDemand * exp((decayedAt - now) / DEMAND_TIME_CONSTANT_MS)

    private fun refill(now: Long) {
        level = min(capacity, level + (now - refilledAt) / MS_PER_S * rate.perSecond * fraction)
        fleetLevel = min(rate.burst, fleetLevel + (now - refilledAt) / MS_PER_S * rate.perSecond)
        refilledAt = now
    }
}

private const val MS_PER_S = 1_000.0

/** Maximum retry delay in milliseconds: callers rarely wait longer, and demand changes meanwhile. */
private const val MAX_WAIT_MS = 4_000L
