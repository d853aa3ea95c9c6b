/*
 * Simulates continuous batching: each step generates one token for every running request, and queued requests join between steps. A step
 * that admits requests takes longer by the prefill time of the uncached parts of their prompts.
 */
package io.skylarkstile.standin.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import java.util.PriorityQueue

/** Thrown to the reader of a stream that the engine ended before its last token. */
internal class BrokenStreamException(
    message: String,
) : Exception(message)

/** Represents a request in the engine. [tokens] receives the index of each generated token, up to but excluding [until]. */
internal class Job(
    val request: EngineRequest,
    val generation: Generation,
    val until: Int,
) {
    val tokens = Channel<Int>(Channel.UNLIMITED)

    /** Index of the next token; modified only by the batcher. */
    var next = request.from
}

/**
 * Counts the work of the step loop. Batch efficiency is [batchSum] divided by ([steps] x maximum batch size), or by [possibleSum] if there
 * were too few requests to fill the batches.
 */
@Serializable
internal data class BatchCounters(
    val steps: Long = 0,
    val tokens: Long = 0,
    /** Sum of the batch sizes of all steps. */
    val batchSum: Long = 0,
    /** Sum over all steps of the largest batch size possible with the running and queued requests. */
    val possibleSum: Long = 0,
    val prefillTokens: Long = 0,
    val cachedTokens: Long = 0,
    val maxQueue: Int = 0,
    val busyMs: Double = 0.0,
)

/** Runs the step loop of an engine; [finished] is called when a request has generated its last token. */
internal class Batcher(
    private val settings: () -> EngineSettings,
    private val cache: PrefixCache,
    private val finished: (Job) -> Unit,
) {
    private val lock = Any()
    private val queue = PriorityQueue(compareBy<Queued> { it.job.request.priority }.thenBy { it.number })
    private val running = ArrayList<Job>()
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var arrivals = 0L
    private var counted = BatchCounters()

    private class Queued(
        val job: Job,
        val number: Long,
    )

    fun counters(): BatchCounters = synchronized(lock) { counted }

    /** Returns the number of running and the number of queued requests. */
    fun load(): Pair<Int, Int> = synchronized(lock) { running.size to queue.size }

    fun add(job: Job) {
        synchronized(lock) {
            queue.add(Queued(job, arrivals++))
            counted = counted.copy(maxQueue = maxOf(counted.maxQueue, queue.size))
        }
        wake.trySend(Unit)
    }

    /** Removes [job] from the batch or the queue; no effect if it has already finished. */
    fun remove(job: Job) {
        synchronized(lock) { if (!running.remove(job)) queue.removeIf { it.job === job } }
    }

    fun resetCounters() {
        synchronized(lock) { counted = BatchCounters() }
    }

    /** Runs the step loop in [scope]. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            var deadline = System.nanoTime()
            while (true) {
                val cost = admit()
                if (cost == null) {
                    wake.receive()
                    continue
                }
                deadline = maxOf(deadline, System.nanoTime()) + (cost * NANOS_PER_MS).toLong()
                delayUntil(deadline)
                step(cost)
            }
        }
    }

    /** Moves queued requests into the batch. Returns the duration of the next step in milliseconds, or `null` if the batch is empty. */
    private fun admit(): Double? = synchronized(lock) {
        val now = settings()
        var prefill = 0
        while (running.size < now.maxBatch && prefill < MAX_PREFILL_TOKENS) {
            val job = queue.poll()?.job ?: break
            val (hits, misses) = cache.lookUp(job.generation.model, job.request.prompt, job.request.from, now)
            prefill += misses
            counted = counted.copy(prefillTokens = counted.prefillTokens + misses, cachedTokens = counted.cachedTokens + hits)
            running.add(job)
        }
        if (running.isEmpty()) null else now.stepMs + prefill * now.prefillMsPerToken
    }

    private fun step(costMs: Double) {
        val ended =
            synchronized(lock) {
                val batch = running.size
                counted =
                    counted.copy(
                        steps = counted.steps + 1,
                        tokens = counted.tokens + batch,
                        batchSum = counted.batchSum + batch,
                        possibleSum = counted.possibleSum + minOf(settings().maxBatch, batch + queue.size),
                        busyMs = counted.busyMs + costMs,
                    )
                running.forEach { it.tokens.trySend(it.next++) }
                running.filter { it.next >= it.until }.also { running.removeAll(it.toSet()) }
            }
        ended.forEach { end(it) }
    }

    private fun end(job: Job) {
        finished(job)
        job.tokens.close()
    }

    private suspend fun delayUntil(deadline: Long) {
        val left = (deadline - System.nanoTime()) / NANOS_PER_MS
        if (left > 0) delay(left.toLong().coerceAtLeast(1))
    }
}

private const val NANOS_PER_MS = 1_000_000.0

/** Prefill tokens after which a step admits no further requests, since real engines also limit the prefill of a step. */
private const val MAX_PREFILL_TOKENS = 2_048
