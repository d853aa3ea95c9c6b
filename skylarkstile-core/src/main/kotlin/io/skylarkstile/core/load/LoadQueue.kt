/*
 * Permits for adapter loads over all instances. The weight store allows few loads a second and at once; permits go first to the
 * adapters that most requests wait for, and age makes sure that every adapter is loaded in the end.
 */
package io.skylarkstile.core.load

import kotlinx.serialization.Serializable

/** A wait of this many milliseconds counts as much as one more waiting request. */
private const val AGE_PER_REQUEST_MS = 100.0

/** An ask that was not repeated for this long has been given up by its sender. */
private const val ASK_LIFETIME_MS = 1_000L

/** Bounds of loads; [permitMs] is the time after which an unreturned permit ends by itself, in milliseconds. */
data class LoadLimits(
    val loadsPerSecond: Double,
    val loadsAtOnce: Int,
    val adaptersInFlight: Int,
    val permitMs: Long,
)

/** Ranks loads: [waiting] requests wait for the adapter, the oldest for [oldestMs] milliseconds. */
fun loadUrgency(
    waiting: Int,
    oldestMs: Long,
): Double = waiting + oldestMs / AGE_PER_REQUEST_MS

/** Names what a permit is for. */
@Serializable
data class LoadKey(
    val target: String,
    val adapter: String,
)

/** A permit for one load. */
@Serializable
data class Permit(
    val number: Long,
    val key: LoadKey,
    val expiresAt: Long,
)

/** Answers [LoadQueue.grantTo]: a permit, or null with the reason. */
data class GrantDecision(
    val permitOrNull: Permit?,
    val reason: String,
)

/** State of the queue for dumps. */
@Serializable
data class LoadQueueDump(
    val tokens: Double,
    val permits: List<Permit>,
    val asks: Map<String, Double>,
)

/**
 * Decides which load is permitted next. Not thread-safe: guarded by its user's lock. A new owner does not know the permits of its
 * predecessor: it starts without tokens, and permits one load at a time until the predecessor's permits have run out, [startedAt] + `permitMs`.
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
    private val cautiousUntil = if (hasPredecessor) startedAt + limits.permitMs else startedAt
    private var tokens = if (hasPredecessor) 0.0 else capacity()
    private var refilledAt = startedAt

    /** Adds or renews an ask: [waiting] requests wait for the adapter of [key], the oldest for [oldestMs] milliseconds. */
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

    /** Permits the load of [key] if it is the most urgent one and the limits allow it at [now]; the ask is removed with it. */
    fun grantTo(
        key: LoadKey,
        now: Long,
    ): GrantDecision {
        refill(now)
        permits.values.removeIf { it.expiresAt <= now }
        asks.values.removeIf { now - it.askedAt > ASK_LIFETIME_MS }
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
            permits.size >= (if (now < cautiousUntil) 1 else limits.loadsAtOnce) -> "loads-at-once"
            key.adapter !in inFlight && inFlight.size >= limits.adaptersInFlight -> "adapters-in-flight"
            else -> null
        }
    }

    /** Ends a permit; unknown numbers are ignored. */
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

    /** After a pause as many loads may start together as may run at once. */
    private fun capacity(): Double = limits.loadsAtOnce.toDouble()
}

/** Paces the loads of one instance while no budget owner answers. Not thread-safe. */
class FallbackPace(
    private val limits: LoadLimits,
) {
    private var nextAt = Long.MIN_VALUE
    private var running = false

    /** Allows one load at a time at rate/N, and only on the first `loadsAtOnce` of [members] by name. Returns the refusal or null. */
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

    /** Starts the load that [refusalOrNull] allowed. */
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
