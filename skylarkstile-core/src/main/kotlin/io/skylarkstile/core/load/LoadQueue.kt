/*
 * Permits for adapter loads across all instances. The weight store limits the rate and the number of concurrent loads, so permits go to the
 * adapters with the most waiting requests first; the age of the oldest request is added to prevent starvation.
 */
package io.skylarkstile.core.load

import kotlinx.serialization.Serializable

/** Waiting time in milliseconds that raises the urgency of a load as much as one more waiting request. */
private const val WAIT_MS_PER_REQUEST = 100.0

/** Time in milliseconds after which an ask that was not renewed is considered abandoned by its sender. */
private const val ASK_TIMEOUT_MS = 1_000L

/**
 * Limits adapter loads: [loadsPerSecond] started, [loadsAtOnce] concurrent ones and [adaptersInFlight] different adapters among these.
 * A permit that is not returned expires after [permitMs] milliseconds.
 */
data class LoadLimits(
    val loadsPerSecond: Double,
    val loadsAtOnce: Int,
    val adaptersInFlight: Int,
    val permitMs: Long,
)

/** Returns the urgency of a load of an adapter for which [waiting] requests wait, the oldest for [oldestMs] milliseconds. */
fun loadUrgency(
    waiting: Int,
    oldestMs: Long,
): Double = waiting + oldestMs / WAIT_MS_PER_REQUEST

/** Identifies a load: the adapter and the target that loads it. */
@Serializable
data class LoadKey(
    val target: String,
    val adapter: String,
)

/** Represents the permission for one load until [expiresAt]. */
@Serializable
data class Permit(
    val number: Long,
    val key: LoadKey,
    val expiresAt: Long,
)

/** Holds the result of [LoadQueue.grantTo]: a permit, or null and the reason for the refusal. */
data class GrantDecision(
    val permitOrNull: Permit?,
    val reason: String,
)

/** Holds the queue state for diagnostic dumps; [asks] maps each load to its urgency. */
@Serializable
data class LoadQueueDump(
    val tokens: Double,
    val permits: List<Permit>,
    val asks: Map<String, Double>,
)

/**
 * Decides which load is permitted next. Not thread-safe; callers must hold a lock. A new owner does not know the permits that its
 * predecessor granted: it starts with an empty token bucket and permits one load at a time until those permits have expired, which is
 * `permitMs` after [startedAt].
 */
class LoadQueue(
    private val limits: LoadLimits,
    private val startedAt: Long,
    hasPredecessor: Boolean = true,
    firstPermit: Long = 1,
) {
    private class Ask(
        var waiting: Int,
        var waitingSince: Long,
        var askedAt: Long,
    )

    private val asks = LinkedHashMap<LoadKey, Ask>()
    private val permits = LinkedHashMap<Long, Permit>()
    private var nextNumber = firstPermit
    private val singleLoadUntil = if (hasPredecessor) startedAt + limits.permitMs else startedAt
    private var tokens = if (hasPredecessor) 0.0 else capacity()
    private var refilledAt = startedAt

    /**
     * Adds or renews an ask for a load permit: [waiting] requests wait for the adapter of [key], the oldest for [oldestMs] milliseconds.
     */
    fun ask(
        key: LoadKey,
        waiting: Int,
        oldestMs: Long,
        now: Long,
    ) {
        val ask = asks.getOrPut(key) { Ask(waiting, now - oldestMs, now) }
        ask.waiting = waiting
        ask.waitingSince = now - oldestMs
        ask.askedAt = now
    }

    fun withdraw(key: LoadKey) {
        asks.remove(key)
    }

    /** Permits the load of [key] and removes its ask if it is the most urgent one and the limits allow another load at [now]. */
    fun grantTo(
        key: LoadKey,
        now: Long,
    ): GrantDecision {
        refill(now)
        permits.values.removeIf { it.expiresAt <= now }
        asks.values.removeIf { now - it.askedAt > ASK_TIMEOUT_MS }
        if (asks.maxByOrNull { (_, ask) -> urgency(ask, now) }?.key != key) return GrantDecision(null, "others-first")
        refusalOrNull(key, now)?.let { return GrantDecision(null, it) }
        val permit = Permit(nextNumber++, key, now + limits.permitMs)
        tokens -= 1
        permits[permit.number] = permit
        asks.remove(key)
        return GrantDecision(permit, "granted")
    }

    private fun refusalOrNull(
        key: LoadKey,
        now: Long,
    ): String? {
        val inFlight = permits.values.mapTo(HashSet()) { it.key.adapter }
        return when {
            tokens < 1 -> "rate"
            permits.size >= (if (now < singleLoadUntil) 1 else limits.loadsAtOnce) -> "loads-at-once"
            key.adapter !in inFlight && inFlight.size >= limits.adaptersInFlight -> "adapters-in-flight"
            else -> null
        }
    }

    /** Releases the permit with the given [number]; unknown numbers are ignored. */
    fun done(number: Long) {
        permits.remove(number)
    }

    fun dump(now: Long): LoadQueueDump = LoadQueueDump(
        tokens,
        permits.values.toList(),
        asks.entries.associate { (key, ask) ->
            "${key.adapter} on ${key.target}" to
                urgency(ask, now)
        },
    )

    private fun urgency(
        ask: Ask,
        now: Long,
    ): Double = loadUrgency(ask.waiting, now - ask.waitingSince)

    private fun refill(now: Long) {
        if (now <= refilledAt) return
        tokens = minOf(capacity(), tokens + (now - refilledAt) * limits.loadsPerSecond / 1_000)
        refilledAt = now
    }

    /** Size of the token bucket: after an idle period, as many loads may start together as may run concurrently. */
    private fun capacity(): Double = limits.loadsAtOnce.toDouble()
}

/** Limits the loads of one instance while the owner of the load budget is unreachable. Not thread-safe. */
class FallbackPace(
    private val limits: LoadLimits,
) {
    private var nextAt = Long.MIN_VALUE
    private var running = false

    /**
     * Returns the reason why a load is refused, or null when it is allowed. Allows one load at a time at rate/N, and only on the first
     * `loadsAtOnce` of the N [members] in order of their names.
     */
    fun refusalOrNull(
        self: String,
        members: List<String>,
        now: Long,
    ): String? {
        val rank = members.sorted().indexOf(self)
        return when {
            rank < 0 || rank >= limits.loadsAtOnce -> "not-among-first-members"
            running -> "load-running"
            now < nextAt -> "rate"
            else -> null
        }
    }

    /** Records the start of a load that [refusalOrNull] allowed. */
    fun start(
        memberCount: Int,
        now: Long,
    ) {
        running = true
        nextAt = now + (1_000 * memberCount / limits.loadsPerSecond).toLong()
    }

    fun end() {
        running = false
    }
}
