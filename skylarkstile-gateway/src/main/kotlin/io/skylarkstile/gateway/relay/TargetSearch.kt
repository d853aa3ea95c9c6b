/*
 * Finds a target for one call: chooses it, waits for its adapter or until any target has room, and requests a permit if the target has named
 * a limit.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.adapter.Placement
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Route
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.MAX_LOAD
import io.skylarkstile.gateway.target.TargetState
import kotlin.math.max

private val log = KotlinLogging.logger {}

/** Interval at which a waiting call repeats its request for an adapter, since the message may be lost, in milliseconds. */
private const val ADAPTER_REQUEST_INTERVAL_MS = 100L

/**
 * Time after which a call stops waiting for an adapter and tries another target, in milliseconds. Loading an adapter takes a quarter of a
 * second, and a few times that under load.
 */
private const val MAX_ADAPTER_WAIT_MS = 1_000L

/** A permit may be used for this long after the time for which it was given, in milliseconds; its adapter may be loaded meanwhile. */
private const val PERMIT_VALIDITY_MS = MAX_ADAPTER_WAIT_MS

/** Share of the route's target latency during which a call waits for any target to have room. */
private const val TARGET_WAIT_SHARE = 0.5

/** Interval at which a call that waits for any target checks again, in milliseconds. */
private const val TARGET_RECHECK_MS = 25L

/** Share of the time until a target is free again by which callers return later at most. */
private const val RETURN_SPREAD = 0.2

/** Retry-After value when all targets are full or gone, in milliseconds. */
internal const val OVERLOAD_RETRY_AFTER_MS = 300L

/** Retry-After value while evacuations leave no target, in milliseconds; they end when an operator says so. */
private const val EVACUATED_RETRY_AFTER_MS = 1_000L

/** Receives the results of a search; each call of [TargetSearch.choose] ends in one of them unless the search is stopped. */
internal interface TargetSearchListener {
    /** The call can be sent to [target], which has [adapter] if it isn't null. */
    fun found(
        target: TargetState,
        adapter: AdapterVersion?,
    )

    /** No target takes the call soon; the caller may return after [retryAfterMs]. */
    fun notFound(
        reason: String,
        retryAfterMs: Long,
    )

    /** The deadline of the call is too close to send it. */
    fun expired()
}

/** Searches for one call that arrived at [arrivedAt]; all functions are called on the event loop. */
internal class TargetSearch(
    private val serving: RelayContext,
    private val call: CallHead,
    private val service: String,
    private val route: Route,
    arrivedAt: Long,
    private val deadlineAt: Long,
    private val listener: TargetSearchListener,
) {
    /** Time until which the call waits for a target. */
    private val waitEndsAt = arrivedAt + (route.targetLatencyMs * TARGET_WAIT_SHARE).toLong()
    private val tried = LinkedHashSet<String>()
    private var waitTimer: Timer? = null
    private var waitingSince = 0L
    private var isWaiting = false
    private var isStopped = false

    private class Permit(
        val target: TargetState,
        val adapter: AdapterVersion?,
        val usableAt: Long,
    )

    /** Permit for a target that has named a limit, until the call is sent there. */
    private var permit: Permit? = null

    /** Id of the target on whose adapter this call has waited last, or null. */
    var waitingFor: String? = null
        private set

    /** Id of the target on which this call waits for an adapter; null while it waits for any target. */
    var awaitsTarget: String? = null
        private set

    /** Excludes [target] from further choices, because the call was sent there in vain. */
    fun exclude(target: TargetState) {
        tried.add(target.id)
    }

    fun isExcluded(target: TargetState): Boolean = target.id in tried

    /** Ends the search; nothing is reported any more. */
    fun stop() {
        isStopped = true
        stopWaiting()
    }

    /** Chooses a target again if the call is waiting. */
    fun recheck() {
        if (isWaiting && !isStopped) choose()
    }

    /** Chooses a target, or begins to wait for one. */
    fun choose() {
        stopWaiting()
        val now = serving.scheduler.now()
        if (deadlineAt - now < MIN_REMAINING_MS) return listener.expired()
        val adapter = call.adapter?.let(serving::currentVersion)
        // A newer version isn't loaded on a target that has the older one, so the permit is of no use for it.
        permit?.takeIf { it.adapter == adapter && now <= it.usableAt + PERMIT_VALIDITY_MS }?.let {
            return proceed(it.target, adapter, it.usableAt)
        }
        val reachable = serving.reachableTargets(service, call.model)
        if (adapter == null) {
            val target = serving.selector.chooseOrNull(now, reachable.filter { !it.availability.isBlocked(now) }, tried)
            return if (target == null) waitForAnyTarget(now, blockedUntilOrNull(now, reachable)) else requestPermit(target, null)
        }
        when (val placement = serving.placement.place(now, adapter, reachable, tried)) {
            is Placement.Run -> {
                serving.placement.copyTargetOrNull(now, adapter, reachable)?.let { serving.demand.requestAdapter(it, adapter) }
                requestPermit(placement.target, adapter)
            }

            is Placement.LoadAndWait -> {
                requestPermit(placement.target, adapter)
            }

            is Placement.Blocked -> {
                waitForAnyTarget(now, placement.until)
            }

            Placement.NoTarget -> {
                waitForAnyTarget(now, blockedUntilOrNull(now, reachable))
            }
        }
    }

    /**
     * Goes on with [target], after a permit if it has named a limit; without one, chooses another target. The permit comes before the
     * adapter is loaded, because a load without a permit would be in vain.
     */
    private fun requestPermit(
        target: TargetState,
        adapter: AdapterVersion?,
    ) {
        val now = serving.scheduler.now()
        if (!target.isLimited(now)) return proceed(target, adapter, now)
        // Calls that have permits and wait for adapters would be sent together, and a cold target bears no burst. The load comes first there.
        if (target.callLimit.cold.isCold(now) && adapter != null && target.adapters[adapter] != AdapterPhase.Present) {
            return waitForAdapter(target, adapter)
        }
        val maxWaitMs = maxOf(0, minOf(waitEndsAt, deadlineAt - MIN_REMAINING_MS) - now)
        serving.permits.request(target, maxWaitMs) { grant ->
            // Counted from the request: an answer that is read after this process stood still is old.
            if (grant.isGranted) permit = Permit(target, adapter, now + grant.waitMs)
            if (!isStopped) choose()
        }
    }

    /** Reports [target], or waits until it has [adapter] and until [usableAt], unless its limit is lifted. */
    private fun proceed(
        target: TargetState,
        adapter: AdapterVersion?,
        usableAt: Long,
    ) {
        val now = serving.scheduler.now()
        val isUsable = serving.targets[target.id] === target && target.acceptsCalls && !target.availability.isPaused(now)
        val isLoaded = adapter == null || target.adapters[adapter] == AdapterPhase.Present
        if (isUsable && !isLoaded) return waitForAdapter(target, checkNotNull(adapter))
        val waitMs = usableAt - now
        if (isUsable && waitMs > 0 && target.isLimited(now)) return waitFor(target.id, waitMs)
        permit = null
        if (isUsable) listener.found(target, adapter) else choose()
    }

    private fun waitForAdapter(
        target: TargetState,
        adapter: AdapterVersion,
    ) {
        val now = serving.scheduler.now()
        if (waitingFor != target.id) {
            waitingFor = target.id
            waitingSince = now
        }
        if (now - waitingSince > MAX_ADAPTER_WAIT_MS) {
            log.event(Level.INFO, "call-waited-in-vain", "call" to call.id, "target" to target.id, "adapter" to "$adapter") {
                "adapter not loaded after ${now - waitingSince} ms, trying another target"
            }
            tried.add(target.id)
            permit = null
            return choose()
        }
        waitFor(target.id, ADAPTER_REQUEST_INTERVAL_MS)
        serving.demand.requestAdapter(target, adapter)
    }

    /**
     * Waits until any target has room, for a share of the target latency. After a restart it takes about 0.1 s until the instances know
     * what the targets have loaded, and a refused caller may retry only once. If limits or pauses block all suitable targets until
     * [blockedUntil], the call is refused at once: the calls that have permits already take longer than it can wait.
     */
    private fun waitForAnyTarget(
        now: Long,
        blockedUntil: Long?,
    ) {
        if (blockedUntil != null) {
            val waitMs = max(blockedUntil - now, OVERLOAD_RETRY_AFTER_MS)
            val isPaused = serving.targets.ready(service).any { it.availability.isPaused(now) }
            return if (isPaused) listener.notFound("targets-paused", spread(waitMs)) else listener.notFound("targets-limited", waitMs)
        }
        if (serving.targets.isEvacuated(service)) return listener.notFound("targets-evacuated", spread(EVACUATED_RETRY_AFTER_MS))
        if (now >= waitEndsAt) return listener.notFound("no-target-free", OVERLOAD_RETRY_AFTER_MS)
        waitFor(null, TARGET_RECHECK_MS)
    }

    /** Returns a random time after [waitMs], so that callers return at different times: a target that was paused begins with one call. */
    private fun spread(waitMs: Long): Long = (waitMs * (1 + serving.random() * RETURN_SPREAD)).toLong()

    /** Returns when the first of [reachable] may take a call, if limits or pauses block all of those that can be tried. */
    private fun blockedUntilOrNull(
        now: Long,
        reachable: List<TargetState>,
    ): Long? {
        val usable = reachable.filter { it.id !in tried && it.load < MAX_LOAD }
        val blockedUntil = usable.map { it.availability.blockedUntilOrNull(now) ?: return null }
        return blockedUntil.minOrNull()
    }

    private fun waitFor(
        target: String?,
        recheckMs: Long,
    ) {
        isWaiting = true
        awaitsTarget = target
        serving.addWaiting(this)
        waitTimer = serving.scheduler.after(recheckMs) { recheck() }
    }

    private fun stopWaiting() {
        if (!isWaiting) return
        isWaiting = false
        awaitsTarget = null
        waitTimer?.cancel()
        serving.removeWaiting(this)
    }
}
