/*
 * Measures the latency that an entry instance adds to a call. The same request is sent alternately to an engine directly and through an
 * entry instance, so that both paths run under the same load of the machine.
 */
package io.skylarkstile.bench.load

import com.github.michaelbull.result.getOrThrow
import io.skylarkstile.bench.report.Percentiles
import io.skylarkstile.bench.report.percentiles
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.headersOf
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put

/** An address to call, with the model name that is valid there. */
internal data class CallEndpoint(
    val address: String,
    val model: String,
    val key: String?,
)

/** Durations of complete calls in milliseconds, [direct] to the engine and [through] an entry instance. */
data class Overhead(
    val direct: Percentiles,
    val through: Percentiles,
)

/** Compares the durations of direct calls and of calls through an entry instance. Each call generates [maxTokens] tokens. */
class OverheadMeter(
    private val client: HttpClient,
    private val maxTokens: Int,
) {
    /**
     * Calls [model] at [entry] with [key], and the handle that [engine] has loaded for it directly at [engine]. Measures [rounds] calls on
     * each path after a tenth as many warm-up calls.
     */
    suspend fun measure(
        entry: String,
        engine: String,
        key: String,
        model: String,
        rounds: Int,
    ): Overhead {
        val through = CallEndpoint(entry, model, key)
        call(through, 0)
        val direct = CallEndpoint(engine, loadedHandle(engine, model), null)
        val times = List(rounds + rounds / WARM_UP_DIVISOR) { call(direct, it) to call(through, it) }.drop(rounds / WARM_UP_DIVISOR)
        return Overhead(percentiles(times.map { it.first }), percentiles(times.map { it.second }))
    }

    private suspend fun loadedHandle(
        engine: String,
        model: String,
    ): String {
        val answer =
            client.call(engine, HttpRequest("GET", "/v1/state"), TIMEOUT_MS, idempotent = true).getOrThrow {
                IllegalStateException(it.detail)
            }
        val state = Json.parseToJsonElement(answer.bytes().decodeToString()).jsonObject
        val names = state.getValue("loaded").jsonArray.map { (it.jsonObject.getValue("name") as JsonPrimitive).content }
        return checkNotNull(names.firstOrNull { it.startsWith("$model@") }) { "$engine has not loaded $model; it has loaded $names" }
    }

    private suspend fun call(
        place: CallEndpoint,
        seed: Int,
    ): Double {
        val authorization = place.key?.let { headersOf("authorization" to "Bearer $it") } ?: HttpHeaders()
        val request =
            HttpRequest(
                "POST",
                "/v1/completions",
                headers = authorization + ("content-type" to "application/json"),
                body = body(place, seed),
            )
        val start = System.nanoTime()
        val answer = client.call(place.address, request, TIMEOUT_MS).getOrThrow { IllegalStateException("${place.address}: ${it.detail}") }
        val text = answer.bytes().decodeToString()
        check(answer.status == 200 && Json.parseToJsonElement(text) is JsonObject) { "${place.address}: ${answer.status} $text" }
        return (System.nanoTime() - start) / NANOS_PER_MS
    }

    private fun body(
        place: CallEndpoint,
        seed: Int,
    ): ByteArray = buildJsonObject {
        put("model", place.model)
        put("prompt", "plate $seed")
        put("max_tokens", maxTokens)
        put("seed", seed)
    }.toString().toByteArray()

    private companion object {
        const val TIMEOUT_MS = 10_000L
        const val WARM_UP_DIVISOR = 10
        const val NANOS_PER_MS = 1_000_000.0
    }
}
