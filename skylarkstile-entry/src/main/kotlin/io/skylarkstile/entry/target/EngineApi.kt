/*
 * The engine protocol (design page, section 6): orders, state reads and completions of one engine.
 * Nothing of the caller but the body, the request id and the trace context reaches the engine.
 */
package io.skylarkstile.entry.target

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpFailure
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.headersOf
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import java.io.ByteArrayOutputStream

internal const val BOOT_HEADER = "X-Boot-Id"
internal const val FENCING_HEADER = "X-Fencing-Number"
internal const val REQUEST_ID_HEADER = "X-Request-Id"
internal const val ADAPTER_HEADER = "X-Adapter"

/** Reports that do not state their age are taken to be at most this old. */
private const val ASSUMED_REPORT_AGE_MS = 2_000L
private const val MAX_ORDER_ANSWER_BYTES = 1_048_576

/** What an engine reports of itself. [ageMs] is how far the report may lag. */
internal data class EngineReport(
    val bootId: String,
    val running: Map<String, Int>,
    val ageMs: Long,
)

/** The outcome of an order. */
internal sealed interface OrderOutcome {
    /** The engine carried it out; [bootIdOrNull] is the boot that did. */
    data class Done(
        val bootIdOrNull: String?,
    ) : OrderOutcome

    /** The engine refused it or it was not sent: nothing changed. */
    data class Refused(
        val status: Int,
        val detail: String,
    ) : OrderOutcome

    /** The order was sent and its effect is not known. */
    data class Unknown(
        val detail: String,
    ) : OrderOutcome
}

/** Calls one engine at [address]; [maySend] is asked directly before an order or a completion is written. */
internal class EngineApi(
    private val http: HttpClient,
    private val address: String,
    private val epoch: Long,
    private val maySend: () -> Boolean,
) {
    suspend fun load(
        handle: String,
        path: String,
        timeoutMs: Long,
    ): OrderOutcome = order("/v1/load_lora_adapter", timeoutMs, refusals = 400..599) {
        put("lora_name", handle)
        put("lora_path", path)
    }

    suspend fun unload(
        handle: String,
        timeoutMs: Long,
    ): OrderOutcome = order("/v1/unload_lora_adapter", timeoutMs) { put("lora_name", handle) }

    /** Raises the engine's fencing number to this owner's epoch. */
    suspend fun fence(timeoutMs: Long): OrderOutcome = order("/v1/fence", timeoutMs) {}

    suspend fun state(timeoutMs: Long): Result<EngineReport, String> =
        http.call(address, HttpRequest("GET", "/v1/state"), timeoutMs, idempotent = true).fold(
            success = { answer -> readWhole(answer).let { if (it == null) Err("broken answer") else parseState(answer.status, it) } },
            failure = { Err(it.detail) },
        )

    /** Sends [request] to be run on [handle]. */
    suspend fun complete(
        request: Dispatch,
        handle: String,
        idleTimeoutMs: Long,
    ): Result<HttpAnswer, HttpFailure> {
        val body = engineBody(request, handle) ?: return Err(HttpFailure.NotSent("the body is not a JSON object"))
        val headers = headersOf("content-type" to "application/json", REQUEST_ID_HEADER to request.requestId, FENCING_HEADER to "$epoch")
        val traced = request.traceparent?.let { headers + ("traceparent" to it) } ?: headers
        return http.call(address, HttpRequest("POST", request.path, headers = traced, body = body), idleTimeoutMs, beforeSend = maySend)
    }

    private suspend fun order(
        path: String,
        timeoutMs: Long,
        refusals: IntRange = 400..499,
        content: kotlinx.serialization.json.JsonObjectBuilder.() -> Unit,
    ): OrderOutcome {
        val headers = headersOf("content-type" to "application/json", FENCING_HEADER to "$epoch")
        val body = buildJsonObject(content).toString().encodeToByteArray()
        return http.call(address, HttpRequest("POST", path, headers = headers, body = body), timeoutMs, beforeSend = maySend).fold(
            success = { outcomeOf(it, refusals) },
            failure = {
                when (it) {
                    is HttpFailure.NotSent -> OrderOutcome.Refused(0, it.detail)
                    is HttpFailure.NoAnswer -> OrderOutcome.Unknown(it.detail)
                }
            },
        )
    }

    private suspend fun outcomeOf(
        answer: HttpAnswer,
        refusals: IntRange,
    ): OrderOutcome {
        val body = readWhole(answer)
        return when {
            answer.status in 200..299 && body != null -> OrderOutcome.Done(answer.headers[BOOT_HEADER])
            answer.status in refusals || answer.status == 503 ->
                OrderOutcome.Refused(
                    answer.status,
                    body?.decodeToString()?.take(200).orEmpty(),
                )
            else -> OrderOutcome.Unknown("status ${answer.status}")
        }
    }
}

/** Returns the body of [request] with the model replaced by [handle] and the number of the first wanted token; null when it is no JSON object. */
internal fun engineBody(
    request: Dispatch,
    handle: String,
): ByteArray? {
    val body = parseObjectOrNull(request.body.decodeToString()) ?: return null
    val extended = body + mapOf("model" to JsonPrimitive(handle), "resume_from" to JsonPrimitive(request.resumeFrom))
    return JsonObject(extended).toString().encodeToByteArray()
}

/** Reads and drops an answer that must not be passed on; the connection is closed because its body is not read to the end. */
internal suspend fun discard(answer: HttpAnswer) {
    try {
        answer.body.firstOrNull()
    } catch (_: HttpBodyException) {
        // The answer is dropped in any case.
    }
}

internal suspend fun readWhole(
    answer: HttpAnswer,
    maxBytes: Int = MAX_ORDER_ANSWER_BYTES,
): ByteArray? {
    val whole = ByteArrayOutputStream()
    return try {
        answer.body.collect { if (whole.size() <= maxBytes) whole.write(it) }
        whole.toByteArray().takeIf { it.size <= maxBytes }
    } catch (_: HttpBodyException) {
        null
    }
}

/** Reads an engine state: `boot_id`, `loaded` (objects with `name` and `running`, or a map from name to running) and, if given, `age_ms`. Camel case is accepted. */
internal fun parseState(
    status: Int,
    body: ByteArray,
): Result<EngineReport, String> {
    if (status != 200) return Err("status $status")
    val json = parseObjectOrNull(body.decodeToString()) ?: return Err("the state is not a JSON object")
    val bootId = json.text("boot_id", "bootId") ?: return Err("the state has no boot_id")
    val loaded = loadedOf(json["loaded"] ?: json["handles"]) ?: return Err("the state has no list of loaded handles")
    return Ok(EngineReport(bootId, loaded, ((json["age_ms"] ?: json["ageMs"]) as? JsonPrimitive)?.longOrNull ?: ASSUMED_REPORT_AGE_MS))
}

private fun loadedOf(json: JsonElement?): Map<String, Int>? = when (json) {
    is JsonObject -> json.mapValues { (it.value as? JsonPrimitive)?.intOrNull ?: 1 }
    is JsonArray -> json.associate { loadedEntry(it) ?: return null }
    else -> null
}

/** A handle reported without a running count counts as in use. */
private fun loadedEntry(json: JsonElement): Pair<String, Int>? = when (json) {
    is JsonPrimitive -> json.content to 1
    is JsonObject -> json.text("name", "lora_name", "handle")?.let { it to ((json["running"] as? JsonPrimitive)?.intOrNull ?: 1) }
    else -> null
}

private fun JsonObject.text(vararg names: String): String? =
    names.firstNotNullOfOrNull { name -> (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content }

/** Returns the value of `Retry-After` in milliseconds. */
internal fun retryAfterMs(headers: HttpHeaders): Long? = headers["Retry-After"]?.toLongOrNull()?.times(1_000)
