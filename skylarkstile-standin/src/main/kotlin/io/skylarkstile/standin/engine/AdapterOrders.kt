/*
 * Handles the adapter orders of an engine: load, unload and fence. If fencing is enabled, orders with an outdated number are rejected.
 */
package io.skylarkstile.standin.engine

import com.github.michaelbull.result.getOrElse
import io.skylarkstile.standin.http.Controls
import io.skylarkstile.standin.http.errorAnswer
import io.skylarkstile.standin.http.jsonAnswer
import io.skylarkstile.standin.weights.InProgressCounter
import io.skylarkstile.standin.weights.simulateWork
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpRequest
import kotlinx.coroutines.flow.collect
import kotlinx.serialization.Serializable
import java.net.URLEncoder
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder
import kotlin.random.Random

/** Counts orders by result. */
@Serializable
internal data class OrderCounters(
    val loads: Long,
    val loadsFailed: Long,
    val unloads: Long,
    /** Unloads of an adapter that was in use by requests. */
    val evictionsInUse: Long,
    val staleOrders: Long,
    val noFreeSlot: Long,
)

/** Executes orders; [breakStream] ends a request's stream with an error when its adapter is unloaded. */
internal class AdapterOrders(
    private val controls: Controls<EngineSettings>,
    private val slots: AdapterSlots,
    private val client: HttpClient,
    private val breakStream: (Job, String) -> Unit,
) {
    private val highestFencingNumber = AtomicLong()
    private val inProgress = InProgressCounter()
    private val loads = LongAdder()
    private val loadsFailed = LongAdder()
    private val unloads = LongAdder()
    private val evictionsInUse = LongAdder()
    private val staleOrders = LongAdder()
    private val noFreeSlot = LongAdder()

    /** Highest fencing number seen since the start of the engine. */
    val fencingNumber: Long get() = highestFencingNumber.get()

    fun counters(): OrderCounters =
        OrderCounters(loads.sum(), loadsFailed.sum(), unloads.sum(), evictionsInUse.sum(), staleOrders.sum(), noFreeSlot.sum())

    /** Resets the fencing number, as a restarted engine does. */
    fun restart() = highestFencingNumber.set(0)

    suspend fun load(request: HttpRequest): HttpAnswer = withValidOrder(request) { order -> beginLoad(order) }

    suspend fun unload(request: HttpRequest): HttpAnswer = withValidOrder(request) { order -> unload(order.loraName) }

    fun fence(request: HttpRequest): HttpAnswer =
        staleOrderAnswerOrNull(request) ?: jsonAnswer(200, mapOf("fencingNumber" to fencingNumber))

    private suspend fun withValidOrder(
        request: HttpRequest,
        run: suspend (AdapterOrder) -> HttpAnswer,
    ): HttpAnswer {
        val order = bodyOrNull<AdapterOrder>(request) ?: return errorAnswer(400, "bad_request", "malformed order")
        return staleOrderAnswerOrNull(request) ?: run(order)
    }

    /** Returns the error response to an order with an outdated fencing number. An order without a number counts as number 0. */
    private fun staleOrderAnswerOrNull(request: HttpRequest): HttpAnswer? {
        if (!controls.now.fencing) return null
        val number = request.headers["X-Fencing-Number"]?.toLongOrNull() ?: 0
        val known = highestFencingNumber.accumulateAndGet(number, ::maxOf)
        if (number >= known) return null
        staleOrders.increment()
        return errorAnswer(409, "stale_fencing_number", "number $number is older than $known")
    }

    private suspend fun beginLoad(order: AdapterOrder): HttpAnswer =
        when (slots.beginLoad(order.loraName, order.loraPath, controls.now.slots)) {
            LoadStart.AlreadyLoaded -> jsonAnswer(200, mapOf("status" to "already loaded"))
            LoadStart.OtherPath -> errorAnswer(409, "adapter_already_loaded", "${order.loraName} is loaded from another path")
            LoadStart.InProgress -> errorAnswer(409, "load_in_progress", "${order.loraName} is being loaded")
            LoadStart.NoFreeSlot -> errorAnswer(409, "no_free_slot", "all slots are in use").also { noFreeSlot.increment() }
            LoadStart.Started -> load(order)
        }

    /** Loads an adapter. If the caller disconnects, the load is cancelled and its slot becomes free. */
    private suspend fun load(order: AdapterOrder): HttpAnswer {
        var succeeded = false
        var present = false
        try {
            succeeded = transferWeights(order.loraPath) && !shouldFailLoad()
        } finally {
            present = slots.finishLoad(order.loraName, succeeded)
        }
        if (succeeded && present) return jsonAnswer(200, mapOf("status" to "loaded")).also { loads.increment() }
        loadsFailed.increment()
        return errorAnswer(500, "load_failed", "loading ${order.loraName} failed")
    }

    private suspend fun transferWeights(path: String): Boolean = inProgress.counted {
        val weights = controls.now.weights
        if (weights == null) simulateWork(controls.now.loadMs.toDouble(), ::loadSpeed).let { true } else fetchWeights(weights, path)
    }

    private fun loadSpeed(): Double = minOf(1.0, controls.now.loadsAtFullSpeed.toDouble() / inProgress.inProgress)

    private suspend fun fetchWeights(
        weights: String,
        path: String,
    ): Boolean {
        val uri = "/weights/" + URLEncoder.encode(path, Charsets.UTF_8)
        val answer = client.call(weights, HttpRequest("GET", uri, rawUri = uri), WEIGHTS_TIMEOUT_MS).getOrElse { return false }
        answer.body.collect()
        return answer.status == 200
    }

    private fun shouldFailLoad(): Boolean =
        controls.take({ it.failLoads }, { s, n -> s.copy(failLoads = n) }) || Random.nextDouble() < controls.now.loadFailShare

    private fun unload(handle: String): HttpAnswer {
        val jobs = slots.unloadOrNull(handle) ?: return errorAnswer(404, "adapter_not_loaded", "$handle is not loaded")
        unloads.increment()
        if (jobs.isNotEmpty()) evictionsInUse.increment()
        jobs.forEach { breakStream(it, "adapter unloaded") }
        return jsonAnswer(200, mapOf("status" to "unloaded"))
    }
}

private const val WEIGHTS_TIMEOUT_MS = 120_000L
