/*
 * Imitates a model engine with continuous batching, adapter slots, a prefix cache and injectable faults. It implements the engine protocol
 * of section 6 of the design page.
 */
package io.skylarkstile.standin.engine

import com.github.michaelbull.result.Result
import io.skylarkstile.standin.http.Controls
import io.skylarkstile.standin.http.Outage
import io.skylarkstile.standin.http.Standin
import io.skylarkstile.standin.http.StandinModel
import io.skylarkstile.standin.http.WithholdMode
import io.skylarkstile.standin.http.controlJson
import io.skylarkstile.standin.http.errorAnswer
import io.skylarkstile.standin.http.jsonAnswer
import io.skylarkstile.standin.http.outageAnswer
import io.skylarkstile.standin.http.standinScope
import io.skylarkstile.standin.http.startStandin
import io.skylarkstile.standin.http.withhold
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.headersOf
import io.skylarkstile.transport.http.httpClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import java.util.UUID
import kotlin.math.roundToInt

/** Starts the engine stand-in on [address] (`ip:port`; port 0 selects a free port). */
fun engineStandin(
    address: String,
    settings: EngineSettings = EngineSettings(),
): Standin {
    val scope = standinScope()
    val model = EngineModel(settings, scope)
    val server = startStandin(address, model, scope)
    return object : Standin by server {
        override fun close() {
            server.close()
            model.close()
        }
    }
}

/** Represents the response of `GET /control/state`. */
@Serializable
internal data class EngineState(
    /** Current state, without the delay of `GET /v1/state`. */
    val present: EngineReport,
    val orders: OrderCounters,
    val batch: BatchCounters,
    val executions: Long,
    /** Number of executions by request id, for requests executed more than once; a resumption counts as an execution. */
    val repeated: Map<String, Int>,
    val notLoaded: Long,
    val cancelled: Long,
    val brokenStreams: Long,
    val settings: EngineSettings,
)

/** Routes engine calls and owns the simulated engine state. */
internal class EngineModel(
    settings: EngineSettings,
    scope: CoroutineScope,
) : StandinModel,
    AutoCloseable {
    private val controls = Controls(EngineSettings.serializer(), settings)
    private val slots = AdapterSlots()
    private val cache = PrefixCache()
    private val batcher = Batcher({ controls.now }, cache) { slots.detach(it.request.handle, it) }
    private val client = httpClient(CONNECT_TIMEOUT_MS)
    private val orders = AdapterOrders(controls, slots, client, ::breakStream)
    private val executions = Executions()
    private val reports = EngineReports({ controls.now.stateLagMs }, ::present)

    @Volatile
    private var bootId = newBootId()

    init {
        batcher.start(scope)
        reports.start(scope)
    }

    override fun control(body: String): Result<JsonElement, String> = controls.apply(body, ::runAction)

    override fun state(): JsonElement = controlJson.encodeToJsonElement(
        EngineState(
            present(),
            orders.counters(),
            batcher.counters(),
            executions.total,
            executions.repeated(),
            executions.notLoaded,
            executions.cancelled,
            executions.broken,
            controls.now,
        ),
    )

    override fun read(request: HttpRequest): HttpAnswer? =
        if (request.path == "/control/executions") jsonAnswer(200, executions.byRequest()) else null

    private fun runAction(action: String): Boolean = when (action) {
        "restart" -> true.also { restart() }
        "resetCounters" -> true.also { batcher.resetCounters() }
        else -> false
    }

    override suspend fun handle(request: HttpRequest): HttpAnswer {
        val settings = controls.now
        if (settings.delayMs > 0) delay(settings.delayMs)
        val answer = if (settings.outage != Outage.None) outageAnswer(settings.outage) else route(request)
        return HttpAnswer(answer.status, answer.headers + ("X-Boot-Id" to bootId), answer.body, answer.length)
    }

    override fun close() = client.close()

    private suspend fun route(request: HttpRequest): HttpAnswer = when ("${request.method} ${request.path}") {
        "POST /v1/completions", "POST /v1/chat/completions" -> complete(request)
        "POST /v1/load_lora_adapter" -> orders.load(request)
        "POST /v1/unload_lora_adapter" -> orders.unload(request)
        "POST /v1/fence" -> orders.fence(request)
        "GET /v1/state" -> jsonAnswer(200, reports.delayedReport())
        "GET /v1/cache_events" ->
            jsonAnswer(200, cache.eventsAfter(request.query["after"]?.toLongOrNull() ?: 0, controls.now.cacheEventLagMs))
        else -> errorAnswer(404, "not_found", "no call ${request.method} ${request.path}")
    }

    private suspend fun complete(http: HttpRequest): HttpAnswer {
        val request = engineRequestOrNull(http, controls.now) ?: return errorAnswer(400, "bad_request", "malformed request")
        if (controls.take(
                { it.rejectNext },
                { s, n -> s.copy(rejectNext = n) },
            )
        ) {
            return errorAnswer(503, "unavailable", "injected rejection")
        }
        val path = slots.pathOrNull(request.handle) ?: return notLoaded(request)
        val generation = Generation(modelOf(request.handle), path, request.prompt, request.seed)
        val job = Job(request, generation, lengthOf(generation, request).coerceAtLeast(request.from))
        if (!slots.attach(request.handle, job)) return notLoaded(request)
        executions.count(request.id)
        if (job.next < job.until) batcher.add(job) else release(job)
        return if (request.stream) streamed(job) else whole(job)
    }

    private fun notLoaded(request: EngineRequest): HttpAnswer =
        errorAnswer(404, "adapter_not_loaded", "${request.handle} is not loaded").also { executions.notLoaded() }

    private fun lengthOf(
        generation: Generation,
        request: EngineRequest,
    ): Int {
        val minFraction = controls.now.minLengthShare
        return (request.maxTokens * (minFraction + (1 - minFraction) * generation.share())).roundToInt().coerceIn(1, request.maxTokens)
    }

    private fun streamed(job: Job): HttpAnswer = HttpAnswer(200, headers(job, "text/event-stream"), stream(job))

    private fun stream(job: Job): Flow<ByteArray> {
        val answer = EngineAnswer(job.request, job.until)
        val faults = takeNextFaults(controls)
        return flow {
            var sent = 0
            withCleanup(job) {
                faults.injectAfterTokens(sent)
                for (index in job.tokens) {
                    emit(answer.chunk(job.generation.token(index)))
                    sent++
                    if (faults.crossesAfter(sent)) emit(answer.chunk(otherGeneration(job).token(index + 1), "crossed-${UUID.randomUUID()}"))
                    faults.injectAfterTokens(sent)
                }
                emit(answer.end())
            }
        }
    }

    private suspend fun whole(job: Job): HttpAnswer {
        val answer = EngineAnswer(job.request, job.until)
        val faults = takeNextFaults(controls)
        return try {
            withCleanup(job) {
                for (index in job.tokens) Unit
                faults.injectBeforeWhole()
            }
            val text = (if (faults.crossed) otherGeneration(job) else job.generation).text(job.request.from, job.until)
            val id = if (faults.crossed) "crossed-${UUID.randomUUID()}" else job.request.id
            val body = jsonAnswer(200, answer.whole(text, id))
            HttpAnswer(200, headers(job, "application/json"), body.body, body.length)
        } catch (_: HttpBodyException) {
            withhold(WithholdMode.Close)
        }
    }

    /** Runs [block], which reads the tokens of [job], then removes the job from the engine, also if the caller has disconnected. */
    private suspend fun withCleanup(
        job: Job,
        block: suspend () -> Unit,
    ) {
        var complete = false
        try {
            block()
            complete = true
        } catch (e: BrokenStreamException) {
            executions.broken()
            throw HttpBodyException(e.message ?: "stream broken")
        } finally {
            batcher.remove(job)
            if (!complete) executions.cancelled()
            release(job)
        }
    }

    private fun release(job: Job) {
        slots.detach(job.request.handle, job)
        job.tokens.close()
    }

    private fun otherGeneration(job: Job): Generation = job.generation.copy(model = "another@1", prompt = "another prompt")

    private fun headers(
        job: Job,
        contentType: String,
    ): HttpHeaders = headersOf("content-type" to contentType, "X-Adapter" to job.request.handle, "X-Request-Id" to job.request.id)

    private fun breakStream(
        job: Job,
        reason: String,
    ) {
        batcher.remove(job)
        job.tokens.close(BrokenStreamException(reason))
    }

    private fun restart() {
        bootId = newBootId()
        slots.clear().forEach { breakStream(it, "engine restarted") }
        orders.restart()
        cache.clear()
        reports.clear()
    }

    private fun present(): EngineReport {
        val settings = controls.now
        val (running, queued) = batcher.load()
        return EngineReport(
            bootId,
            settings.slots,
            settings.maxBatch,
            slots.loaded(),
            slots.loading(),
            running,
            queued,
            orders.fencingNumber,
        )
    }

    private fun newBootId(): String = UUID.randomUUID().toString()
}

private const val CONNECT_TIMEOUT_MS = 1_000L
