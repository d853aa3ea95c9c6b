/*
 * Client of the engine protocol (design page, section 6): orders, state reads and completions.
 * Of a caller's request, only the body, the request id and the trace context are sent to the engine.
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

/** Assumed maximum age of a report that does not state its age. */
private const val ASSUMED_REPORT_AGE_MS = 2_000L
private const val MAX_ORDER_ANSWER_BYTES = 1_048_576

/** State reported by an engine. [running] is the number of running requests by handle; the report may be up to [ageMs] milliseconds old. */
internal data class EngineReport(
    val bootId: String,
    val running: Map<String, Int>,
    val ageMs: Long,
)

/** Outcome of an order, that is of a load, unload or fencing request. */
internal sealed interface OrderOutcome {
    /** The engine carried the order out; [bootIdOrNull] is its boot id, if it gives one. */
    data class Done(
        val bootIdOrNull: String?,
    ) : OrderOutcome

    /** The order changed nothing: the engine refused it, or it was not sent ([status] is 0). */
    data class Refused(
        val status: Int,
        val detail: String,
    ) : OrderOutcome

    /** The order was sent, but its effect is unknown. */
    data class Unknown(
        val detail: String,
    ) : OrderOutcome
}

/** Calls the engine at [address]; [maySend] is checked immediately before an order or a completion is written. */
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
    ): OrderOutcome = order("/v1/load_lora_adapter", timeoutMs, refusalStatuses = 400..599) {
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
            success = { answer -> readBody(answer).let { if (it == null) Err("incomplete answer") else parseState(answer.status, it) } },
            failure = { Err(it.detail) },
        )

    /** Sends [request] to run on [handle]; fails with [HttpFailure.NotSent] if its body is not a JSON object. */
    suspend fun complete(
        request: Dispatch,
        handle: String,
        idleTimeoutMs: Long,
    ): Result<HttpAnswer, HttpFailure> {
        val body = engineBody(request, handle) ?: return Err(HttpFailure.NotSent("the body is not a JSON object"))
        val headers = headersOf("content-type" to "application/json", REQUEST_ID_HEADER to request.requestId, FENCING_HEADER to "$epoch")
        val allHeaders = request.traceparent?.let { headers + ("traceparent" to it) } ?: headers
        return http.call(address, HttpRequest("POST", request.path, headers = allHeaders, body = body), idleTimeoutMs, beforeSend = maySend)
    }

    private suspend fun order(
        path: String,
        timeoutMs: Long,
        refusalStatuses: IntRange = 400..499,
        content: kotlinx.serialization.json.JsonObjectBuilder.() -> Unit,
    ): OrderOutcome {
        val headers = headersOf("content-type" to "application/json", FENCING_HEADER to "$epoch")
        val body = buildJsonObject(content).toString().encodeToByteArray()
        return http.call(address, HttpRequest("POST", path, headers = headers, body = body), timeoutMs, beforeSend = maySend).fold(
            success = { outcomeOf(it, refusalStatuses) },
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
        refusalStatuses: IntRange,
    ): OrderOutcome {
        val body = readBody(answer)
        return when {
            answer.status in 200..299 && body != null -> OrderOutcome.Done(answer.headers[BOOT_HEADER])
            answer.status in refusalStatuses || answer.status == 503 ->
                OrderOutcome.Refused(
                    answer.status,
                    body?.decodeToString()?.take(200).orEmpty(),
                )
            else -> OrderOutcome.Unknown("status ${answer.status}")
        }
    }
}

/** Returns the body of [request] with [handle] as its model and the index of the first token to send; null if it is not a JSON object. */
internal fun engineBody(
    request: Dispatch,
    handle: String,
): ByteArray? {
    val body = parseObjectOrNull(request.body.decodeToString()) ?: return null
    val extended = body + mapOf("model" to JsonPrimitive(handle), "resume_from" to JsonPrimitive(request.resumeFrom))
    return JsonObject(extended).toString().encodeToByteArray()
}

/** Discards an answer that must not be forwarded. Closes its connection, because the body is not read to the end. */
internal suspend fun discard(answer: HttpAnswer) {
    try {
        answer.body.firstOrNull()
    } catch (_: HttpBodyException) {
        // The answer is discarded in any case.
    }
}

/** Returns the body of [answer], or null if it broke off or exceeds [maxBytes]. */
internal suspend fun readBody(
    answer: HttpAnswer,
    maxBytes: Int = MAX_ORDER_ANSWER_BYTES,
): ByteArray? {
    val buffer = ByteArrayOutputStream()
    return try {
        answer.body.collect { if (buffer.size() <= maxBytes) buffer.write(it) }
        buffer.toByteArray().takeIf { it.size <= maxBytes }
    } catch (_: HttpBodyException) {
        null
    }
}

/**
 * Parses an engine state: `boot_id`, `loaded` (objects with `name` and `running`, or a map from name to running) and, if given, `age_ms`.
 * Names in camel case are accepted too.
 */
internal fun parseState(
    status: Int,
    body: ByteArray,
): Result<EngineReport, String> {
    if (status != 200) return Err("status $status")
    val json = parseObjectOrNull(body.decodeToString()) ?: return Err("the state is not a JSON object")
    val bootId = json.text("boot_id", "bootId") ?: return Err("the state has no boot_id")
    val loaded = parseLoadedOrNull(json["loaded"] ?: json["handles"]) ?: return Err("the state has no list of loaded handles")
    return Ok(EngineReport(bootId, loaded, ((json["age_ms"] ?: json["ageMs"]) as? JsonPrimitive)?.longOrNull ?: ASSUMED_REPORT_AGE_MS))
}

private fun parseLoadedOrNull(json: JsonElement?): Map<String, Int>? = when (json) {
    is JsonObject -> json.mapValues { (it.value as? JsonPrimitive)?.intOrNull ?: 1 }
    is JsonArray -> json.associate { parseLoadedEntryOrNull(it) ?: return null }
    else -> null
}

/** Returns a handle and its running requests; a handle without a count is assumed to be in use. */
private fun parseLoadedEntryOrNull(json: JsonElement): Pair<String, Int>? = when (json) {
    is JsonPrimitive -> json.content to 1
    is JsonObject -> json.text("name", "lora_name", "handle")?.let { it to ((json["running"] as? JsonPrimitive)?.intOrNull ?: 1) }
    else -> null
}

private fun JsonObject.text(vararg names: String): String? =
    names.firstNotNullOfOrNull { name -> (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content }

/** Returns the value of `Retry-After` in milliseconds. */
internal fun retryAfterMs(headers: HttpHeaders): Long? = headers["Retry-After"]?.toLongOrNull()?.times(1_000)
