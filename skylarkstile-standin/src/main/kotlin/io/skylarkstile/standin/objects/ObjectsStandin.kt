/*
 * Imitates the object API of section 6 of the design page, with rate limits, a delayed instance list and injectable faults.
 */
package io.skylarkstile.standin.objects

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.schema.recordJson
import io.skylarkstile.standin.http.Controls
import io.skylarkstile.standin.http.ErrorDetail
import io.skylarkstile.standin.http.Outage
import io.skylarkstile.standin.http.Standin
import io.skylarkstile.standin.http.StandinModel
import io.skylarkstile.standin.http.TokenBucket
import io.skylarkstile.standin.http.controlJson
import io.skylarkstile.standin.http.errorAnswer
import io.skylarkstile.standin.http.jsonAnswer
import io.skylarkstile.standin.http.monotonicMs
import io.skylarkstile.standin.http.outageAnswer
import io.skylarkstile.standin.http.standinScope
import io.skylarkstile.standin.http.startStandin
import io.skylarkstile.standin.http.withhold
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.wholeAnswer
import io.skylarkstile.transport.platform.RecordList
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.LongAdder
import kotlin.random.Random

/** Starts the object API stand-in on [address] (`ip:port`; port 0 selects a free port). */
fun objectsStandin(
    address: String,
    settings: ObjectsSettings = ObjectsSettings(),
): Standin {
    val scope = standinScope()
    return startStandin(address, ObjectsModel(settings, scope), scope)
}

/** Represents the response of `GET /control/state`. */
@Serializable
internal data class ObjectsState(
    val revision: Long,
    val objects: Map<String, Int>,
    /** Number of calls by type (get, list, put, delete, watch, instances) and by result (throttled, unavailable, conflict, lost, gone). */
    val calls: Map<String, Long>,
    val openWatches: Int,
    val settings: ObjectsSettings,
)

@Serializable
private data class ConflictBody(
    val error: ErrorDetail,
    val currentVersion: Long,
)

/** Handles object API calls on an [ObjectTable]. */
internal class ObjectsModel(
    settings: ObjectsSettings,
    scope: CoroutineScope,
) : StandinModel {
    private val controls = Controls(ObjectsSettings.serializer(), settings)
    private val table = ObjectTable()
    private val instanceList = DelayedInstanceList(settings.listedInstances())
    private val reads = TokenBucket()
    private val writes = TokenBucket()
    private val calls = ConcurrentHashMap<String, LongAdder>()
    private val openWatches = AtomicInteger()

    init {
        scope.launch { controls.changes.collect { instanceList.recordState(it.listedInstances(), monotonicMs()) } }
    }

    override fun control(body: String): Result<JsonElement, String> = controls.apply(body, ::runAction)

    override fun state(): JsonElement = controlJson.encodeToJsonElement(
        ObjectsState(
            table.revision.value,
            table.countByKind(),
            calls.mapValues { it.value.sum() }.toSortedMap(),
            openWatches.get(),
            controls.now,
        ),
    )

    private fun runAction(action: String): Boolean = when (action) {
        "forgetHistory" -> true.also { table.forgetHistory() }
        "resetCalls" -> true.also { calls.clear() }
        else -> false
    }

    override suspend fun handle(request: HttpRequest): HttpAnswer {
        val call = objectCallOrNull(request) ?: return errorAnswer(400, "bad_request", "no call ${request.method} ${request.rawUri}")
        count(call.type)
        val settings = controls.now
        if (settings.delayMs > 0) delay(settings.delayMs)
        return when {
            settings.outage != Outage.None -> answerOutage()
            !isWithinRate(call, settings) -> counted("throttled", errorAnswer(429, "throttled", "rate of the object API exceeded"))
            call is ObjectCall.Write -> write(call)
            else -> read(call)
        }
    }

    private suspend fun answerOutage(): HttpAnswer {
        count("unavailable")
        return outageAnswer(controls.now.outage)
    }

    private fun isWithinRate(
        call: ObjectCall,
        settings: ObjectsSettings,
    ): Boolean = if (call is ObjectCall.Write) {
        writes.take(settings.writesPerSecond, monotonicMs())
    } else {
        reads.take(settings.readsPerSecond, monotonicMs())
    }

    private suspend fun read(call: ObjectCall): HttpAnswer = when (call) {
        is ObjectCall.Get ->
            table.getOrNull(call.kind, call.name)?.let { recordAnswer(it) } ?: errorAnswer(404, "not_found", "no such object")
        is ObjectCall.ListAll -> listAnswer(table.list(call.kinds))
        is ObjectCall.Watch -> watch(call)
        else -> jsonAnswer(200, instanceList.at(monotonicMs(), controls.now.instancesLagMs))
    }

    private suspend fun write(call: ObjectCall.Write): HttpAnswer {
        val settings = controls.now
        val value = call.value
        return when {
            controls.take({
                it.failWrites
            }, { s, n -> s.copy(failWrites = n) }) -> counted("unavailable", errorAnswer(503, "unavailable", "injected failure"))
            value != null && value.size > settings.maxValueBytes ->
                errorAnswer(413, "too_large", "value of ${value.size} bytes is over ${settings.maxValueBytes}")
            value != null && !isJson(value) -> errorAnswer(400, "bad_request", "the value is not JSON")
            value == null && isAbsent(call) -> errorAnswer(404, "not_found", "no such object")
            else -> applyWrite(call)
        }
    }

    private suspend fun applyWrite(call: ObjectCall.Write): HttpAnswer =
        table.write(call.kind, call.name, call.value?.decodeToString(), call.ifVersion, historyLimits()).fold(
            success = { if (shouldLoseAnswer()) counted("lost", withhold(controls.now.loseMode)) else recordAnswer(it.copy(value = null)) },
            failure = {
                val body = ConflictBody(ErrorDetail("conflict", "the current version is ${it.currentVersion}"), it.currentVersion)
                counted("conflict", jsonAnswer(409, body))
            },
        )

    private fun historyLimits() = controls.now.let { HistoryLimits(it.historyLimit, it.historyCharacters) }

    private fun shouldLoseAnswer(): Boolean =
        controls.take({ it.loseAnswers }, { s, n -> s.copy(loseAnswers = n) }) || Random.nextDouble() < controls.now.loseShare

    private fun isAbsent(call: ObjectCall.Write): Boolean = (call.ifVersion ?: 0L) == 0L && table.getOrNull(call.kind, call.name) == null

    /** Waits until there is a change, the wait time has passed, or an outage begins, which also ends open watches. */
    private suspend fun watch(call: ObjectCall.Watch): HttpAnswer {
        openWatches.incrementAndGet()
        try {
            withTimeoutOrNull(call.waitMs) {
                combine(table.revision, controls.changes) { _, settings -> settings.outage }
                    .first { it != Outage.None || table.changesOrNull(call.kinds, call.after)?.records?.isEmpty() != true }
            }
        } finally {
            openWatches.decrementAndGet()
        }
        if (controls.now.outage != Outage.None) return answerOutage()
        return table.changesOrNull(call.kinds, call.after)?.let { listAnswer(it) }
            ?: counted("gone", errorAnswer(410, "gone", "no history after revision ${call.after}"))
    }

    private fun isJson(value: ByteArray): Boolean = try {
        recordJson.parseToJsonElement(value.decodeToString())
        true
    } catch (_: SerializationException) {
        false
    }

    private fun recordAnswer(record: StoredRecord): HttpAnswer =
        wholeAnswer(200, "application/json", recordJson.encodeToString(record).encodeToByteArray())

    private fun listAnswer(list: RecordList): HttpAnswer =
        wholeAnswer(200, "application/json", recordJson.encodeToString(list).encodeToByteArray())

    private fun count(type: String) = calls.computeIfAbsent(type) { LongAdder() }.increment()

    private inline fun counted(
        type: String,
        answer: HttpAnswer,
    ): HttpAnswer = answer.also { count(type) }
}
