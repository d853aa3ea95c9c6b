/*
 * Weighted fair queueing of one target's waiting requests. Each workspace has a virtual time that advances by generated tokens over
 * weight; the workspace with the least virtual time is served next. Requests whose adapter is not loaded are parked by adapter and
 * enter the order when it is loaded, so they do not hold up others.
 */
package io.skylarkstile.core.queue

import kotlinx.serialization.Serializable

private const val FIRST_SERVICE_MS = 500.0
private const val AVERAGE_STEP = 0.05
private const val IDLE_WORKSPACES = 256

/** Describes one waiting request. [estimate] is the expected number of generated tokens. */
class Waiting<T>(
    val item: T,
    val workspace: String,
    val weight: Double,
    val model: String,
    val estimate: Double,
    val arrivedAt: Long,
    val deadlineAt: Long,
)

/** Tells whether a request may wait. */
sealed interface Entry<out T> {
    /** The request waits; [pushedOutOrNull] lost its place to it and has not run. */
    data class Accepted<T>(
        val pushedOutOrNull: T?,
    ) : Entry<T>

    /** The request must not wait. [reason] is `queue-full` or `deadline`. */
    data class Refused(
        val reason: String,
        val retryAfterMs: Long,
    ) : Entry<Nothing>
}

/** State of the queue for dumps. */
@Serializable
data class FairQueueDump(
    val ready: Map<String, Int>,
    val parked: Map<String, Int>,
    val virtualTimes: Map<String, Double>,
    val averageServiceMs: Long,
)

/** Orders waiting requests. Not thread-safe: guarded by the target's lock. */
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
    private var serviceMs = FIRST_SERVICE_MS

    /** Number of waiting requests, parked ones included. */
    val size: Int get() = ready.values.sumOf { it.size } + parkedSize
    val parkedSize: Int get() = parked.values.sumOf { it.size }

    /** Returns the models whose requests wait for a load. */
    fun parkedModels(): Set<String> = parked.filterValues { it.isNotEmpty() }.keys

    /** Adds [waiting]; parks it unless its adapter [isLoaded]. [running] and [maxRunning] describe the target, for the expected wait. */
    fun add(
        waiting: Waiting<T>,
        isLoaded: Boolean,
        running: Int,
        maxRunning: Int,
        now: Long,
    ): Entry<T> {
        val expected = expectedWaitMs(waiting.workspace, waiting.weight, running, maxRunning)
        if (now + expected > waiting.deadlineAt) return Entry.Refused("deadline", expected - (waiting.deadlineAt - now))
        val pushedOut = if (size < limit) null else pushOut(waiting) ?: return Entry.Refused("queue-full", expected.coerceAtLeast(100))
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
        return Entry.Accepted(pushedOut?.item)
    }

    /** Expects the wait of a new request of [workspace] in milliseconds: others count only up to their share. */
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
        return if (excess <= 0) 0 else (excess * serviceMs / maxRunning).toLong()
    }

    /** Moves the requests parked for [model] into the order. */
    fun loaded(model: String) {
        parked.remove(model)?.forEach { waiting ->
            val queue = ready.getOrPut(waiting.workspace) { ArrayDeque() }
            val at = queue.indexOfFirst { it.arrivedAt > waiting.arrivedAt }
            if (at < 0) queue.addLast(waiting) else queue.add(at, waiting)
        }
    }

    /** Parks the requests in the order whose model is not [isLoaded] any more. */
    fun park(isLoaded: (String) -> Boolean) {
        ready.values.forEach { queue ->
            val gone = queue.filter { !isLoaded(it.model) }
            queue.removeAll(gone)
            gone.forEach { parked.getOrPut(it.model) { ArrayDeque() }.addLast(it) }
        }
        ready.values.removeIf { it.isEmpty() }
    }

    /** Takes the next request in fair order and charges its estimate; null when none is ready. */
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

    /** Corrects the charge of a request that [next] returned to the [tokens] it generated; [ranMs] improves the expected wait. */
    fun finished(
        waiting: Waiting<T>,
        tokens: Int,
        ranMs: Long,
    ) {
        left(waiting.workspace)
        shares[waiting.workspace]?.let { it.virtualTime += (tokens - waiting.estimate) / it.weight }
        if (tokens > 0) serviceMs += (ranMs - serviceMs) * AVERAGE_STEP
        if (shares.size > IDLE_WORKSPACES) shares.keys.removeIf { (active[it] ?: 0) == 0 && shares.getValue(it).virtualTime <= virtualNow }
    }

    /** Removes a request that still waits; returns false when it does not. */
    fun remove(waiting: Waiting<T>): Boolean {
        val removed = removeFrom(ready, waiting.workspace, waiting) || removeFrom(parked, waiting.model, waiting)
        if (removed) left(waiting.workspace)
        return removed
    }

    /** Removes and returns all waiting requests that match [isGone]. */
    fun removeAll(isGone: (Waiting<T>) -> Boolean): List<Waiting<T>> = all().filter(isGone).onEach { remove(it) }

    /** Returns the parked requests by model. */
    fun parkedByModel(): Map<String, List<Waiting<T>>> = parked

    fun isWanted(model: String): Boolean = model in parked || ready.values.any { queue -> queue.any { it.model == model } }

    fun dump(): FairQueueDump = FairQueueDump(
        ready.mapValues { it.value.size },
        parked.mapValues { it.value.size },
        shares.mapValues { it.value.virtualTime },
        serviceMs.toLong(),
    )

    private fun all(): List<Waiting<T>> = (ready.values + parked.values).flatten()

    private fun left(workspace: String) {
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

    /** Makes room in a full queue: the workspace that waits with the most requests over weight loses its newest one, if [arriving] has fewer. */
    private fun pushOut(arriving: Waiting<T>): Waiting<T>? {
        val byWorkspace = all().groupBy { it.workspace }
        val own = ((byWorkspace[arriving.workspace]?.size ?: 0) + 1) / arriving.weight
        val (_, longest) = byWorkspace.maxByOrNull { (_, queue) -> queue.size / queue.first().weight } ?: return null
        if (longest.first().workspace == arriving.workspace || longest.size / longest.first().weight <= own) return null
        return longest.maxBy { it.arrivedAt }.also { remove(it) }
    }
}
