/*
 * Weighted fair queueing of the requests that wait for one target: the workspace with the lowest virtual time, which advances by generated
 * tokens divided by weight, is served next. Requests whose adapter is not loaded are parked per adapter until it is, so that they do not
 * block others.
 */
package io.skylarkstile.core.queue

import kotlinx.serialization.Serializable

private const val INITIAL_SERVICE_MS = 500.0
private const val SERVICE_TIME_SMOOTHING = 0.05
private const val MAX_IDLE_SHARES = 256

/**
 * Represents one waiting request. [estimate] is the expected number of generated tokens; [arrivedAt] and [deadlineAt] are in milliseconds.
 */
class Waiting<T>(
    val item: T,
    val workspace: String,
    val weight: Double,
    val model: String,
    val estimate: Double,
    val arrivedAt: Long,
    val deadlineAt: Long,
)

/** Represents the result of adding a request to a [FairQueue]. */
sealed interface Entry<out T> {
    /** The request was queued. [pushedOutOrNull] is a request that was evicted from the full queue to make room; it has not run. */
    data class Accepted<T>(
        val pushedOutOrNull: T?,
    ) : Entry<T>

    /** The request was rejected. [reason] is `queue-full` or `deadline`. */
    data class Refused(
        val reason: String,
        val retryAfterMs: Long,
    ) : Entry<Nothing>
}

/** Holds the queue state for diagnostic dumps: request counts and virtual times by workspace, and parked requests by model. */
@Serializable
data class FairQueueDump(
    val ready: Map<String, Int>,
    val parked: Map<String, Int>,
    val virtualTimes: Map<String, Double>,
    val averageServiceMs: Long,
)

/** Orders at most [limit] waiting requests. Not thread-safe; callers must hold the target's lock. */
class FairQueue<T>(
    private val limit: Int,
) {
    private class Share(
        var weight: Double,
        var virtualTime: Double,
    )

    private val ready = LinkedHashMap<String, ArrayDeque<Waiting<T>>>()
    private val parked = LinkedHashMap<String, ArrayDeque<Waiting<T>>>()
    private val shares = LinkedHashMap<String, Share>()
    private val active = HashMap<String, Int>()
    private var virtualNow = 0.0
    private var meanServiceMs = INITIAL_SERVICE_MS

    /** Number of waiting requests, including parked ones. */
    val size: Int get() = ready.values.sumOf { it.size } + parkedSize
    val parkedSize: Int get() = parked.values.sumOf { it.size }

    /** Returns the models (`adapter@version`) whose requests are parked until the adapter is loaded. */
    fun parkedModels(): Set<String> = parked.filterValues { it.isNotEmpty() }.keys

    /**
     * Adds [waiting], or parks it unless its adapter [isLoaded]. The target's [running] and [maxRunning] requests determine the expected
     * wait.
     */
    fun add(
        waiting: Waiting<T>,
        isLoaded: Boolean,
        running: Int,
        maxRunning: Int,
        now: Long,
    ): Entry<T> {
        val expected = expectedWaitMs(waiting.workspace, waiting.weight, running, maxRunning)
        if (now + expected > waiting.deadlineAt) return Entry.Refused("deadline", expected - (waiting.deadlineAt - now))
        val evicted = if (size < limit) null else evictFor(waiting) ?: return Entry.Refused("queue-full", expected.coerceAtLeast(100))
        val share = shares.getOrPut(waiting.workspace) { Share(waiting.weight, virtualNow) }
        share.weight = waiting.weight
        if ((active[waiting.workspace] ?: 0) == 0) share.virtualTime = maxOf(share.virtualTime, virtualNow)
        active.merge(waiting.workspace, 1, Int::plus)
        (
            if (isLoaded) {
                ready.getOrPut(
                    waiting.workspace,
                ) { ArrayDeque() }
            } else {
                parked.getOrPut(waiting.model) { ArrayDeque() }
            }
        ).addLast(waiting)
        return Entry.Accepted(evicted?.item)
    }

    /**
     * Estimates the wait of a new request of [workspace] in milliseconds. Requests of other workspaces count only up to their fair share.
     */
    fun expectedWaitMs(
        workspace: String,
        weight: Double,
        running: Int,
        maxRunning: Int,
    ): Long {
        val own = ready[workspace]?.size ?: 0
        val ahead =
            ready.entries.sumOf { (name, queue) ->
                if (name == workspace) own.toDouble() else minOf(queue.size.toDouble(), (own + 1) * (shares[name]?.weight ?: 1.0) / weight)
            }
        val excess = ahead + 1 + running - maxRunning
        return if (excess <= 0) 0 else (excess * meanServiceMs / maxRunning).toLong()
    }

    /** Moves the requests parked for [model], which is now loaded, to the ready queues in order of arrival. */
    fun loaded(model: String) {
        parked.remove(model)?.forEach { waiting ->
            val queue = ready.getOrPut(waiting.workspace) { ArrayDeque() }
            val at = queue.indexOfFirst { it.arrivedAt > waiting.arrivedAt }
            if (at < 0) queue.addLast(waiting) else queue.add(at, waiting)
        }
    }

    /** Parks the ready requests whose model is no longer loaded. */
    fun park(isLoaded: (String) -> Boolean) {
        ready.values.forEach { queue ->
            val unloaded = queue.filter { !isLoaded(it.model) }
            queue.removeAll(unloaded)
            unloaded.forEach { parked.getOrPut(it.model) { ArrayDeque() }.addLast(it) }
        }
        ready.values.removeIf { it.isEmpty() }
    }

    /** Removes and returns the next request in fair order and charges its estimate. Returns null when no request is ready. */
    fun next(): Waiting<T>? {
        val workspace = ready.keys.minByOrNull { shares.getValue(it).virtualTime } ?: return null
        val queue = ready.getValue(workspace)
        val waiting = queue.removeFirst()
        if (queue.isEmpty()) ready.remove(workspace)
        val share = shares.getValue(workspace)
        virtualNow = maxOf(virtualNow, share.virtualTime)
        share.virtualTime += waiting.estimate / share.weight
        return waiting
    }

    /** Corrects the charge of a request returned by [next] to the [tokens] it generated. Its run time [ranMs] updates the wait estimate. */
    fun finished(
        waiting: Waiting<T>,
        tokens: Int,
        ranMs: Long,
    ) {
        decrementActive(waiting.workspace)
        shares[waiting.workspace]?.let { it.virtualTime += (tokens - waiting.estimate) / it.weight }
        if (tokens > 0) meanServiceMs += (ranMs - meanServiceMs) * SERVICE_TIME_SMOOTHING
        if (shares.size > MAX_IDLE_SHARES) shares.keys.removeIf { (active[it] ?: 0) == 0 && shares.getValue(it).virtualTime <= virtualNow }
    }

    /** Removes a waiting request; returns false when it is not in the queue. */
    fun remove(waiting: Waiting<T>): Boolean {
        val removed = removeFrom(ready, waiting.workspace, waiting) || removeFrom(parked, waiting.model, waiting)
        if (removed) decrementActive(waiting.workspace)
        return removed
    }

    /** Removes and returns all waiting requests for which [isGone] returns true. */
    fun removeAll(isGone: (Waiting<T>) -> Boolean): List<Waiting<T>> = all().filter(isGone).onEach { remove(it) }

    /** Returns the parked requests by model. */
    fun parkedByModel(): Map<String, List<Waiting<T>>> = parked

    fun isWanted(model: String): Boolean = model in parked || ready.values.any { queue -> queue.any { it.model == model } }

    fun dump(): FairQueueDump = FairQueueDump(
        ready.mapValues { it.value.size },
        parked.mapValues { it.value.size },
        shares.mapValues { it.value.virtualTime },
        meanServiceMs.toLong(),
    )

    private fun all(): List<Waiting<T>> = (ready.values + parked.values).flatten()

    private fun decrementActive(workspace: String) {
        active.computeIfPresent(workspace) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private fun removeFrom(
        queues: MutableMap<String, ArrayDeque<Waiting<T>>>,
        key: String,
        waiting: Waiting<T>,
    ): Boolean {
        val queue = queues[key] ?: return false
        val removed = queue.remove(waiting)
        if (queue.isEmpty()) queues.remove(key)
        return removed
    }

    /**
     * Makes room in a full queue: evicts the newest request of the workspace with the most waiting requests relative to its weight, unless
     * the workspace of [arriving] would have at least as many. Returns the evicted request or null.
     */
    private fun evictFor(arriving: Waiting<T>): Waiting<T>? {
        val byWorkspace = all().groupBy { it.workspace }
        val own = ((byWorkspace[arriving.workspace]?.size ?: 0) + 1) / arriving.weight
        val (_, longest) = byWorkspace.maxByOrNull { (_, queue) -> queue.size / queue.first().weight } ?: return null
        if (longest.first().workspace == arriving.workspace || longest.size / longest.first().weight <= own) return null
        return longest.maxBy { it.arrivedAt }.also { remove(it) }
    }
}
