/*
 * Imitates a plain service with non-idempotent calls: registrations (Cairo) and track holds (Perth). It does not deduplicate calls, so that
 * duplicate executions show up in its counters.
 */
package io.skylarkstile.standin.service

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
import io.skylarkstile.standin.http.startStandin
import io.skylarkstile.standin.http.withhold
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpRequest
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.encodeToJsonElement

/** Configures the service and its injected faults. "Next n" fields are decremented with each use. */
@Serializable
data class ServiceSettings(
    /** Delay of each call, in milliseconds. */
    val delayMs: Long = 0,
    /** Rejects the next n posts with status 503 without executing them. */
    val failBefore: Int = 0,
    /** Answers the next n posts with status 500 after executing them. */
    val failAfter: Int = 0,
    /** Withholds the responses of the next n posts after executing them, as [dropMode] specifies. */
    val dropAfter: Int = 0,
    val dropMode: WithholdMode = WithholdMode.Close,
    /** Length of the filler text in each response to a post, in bytes. */
    val answerBytes: Int = 0,
    val outage: Outage = Outage.None,
)

/** Starts the plain service stand-in on [address] (`ip:port`; port 0 selects a free port). */
fun serviceStandin(
    address: String,
    settings: ServiceSettings = ServiceSettings(),
): Standin = startStandin(address, ServiceModel(settings))

/** Represents the response of `GET /control/state`. */
@Serializable
internal data class ServiceState(
    /** Number of executed posts. */
    val executed: Long,
    val reads: Long,
    /** Number of executions by `Idempotency-Key`. */
    val executionsByKey: Map<String, Int>,
    /** Number of executions by `X-Request-Id`. */
    val executionsByRequest: Map<String, Int>,
    val settings: ServiceSettings,
)

/** Represents the response to an executed post, and to a read of its entry. */
@Serializable
internal data class ServiceEntry(
    val collection: String,
    val number: Long,
    val body: JsonElement?,
    val filler: String? = null,
)

/** Handles posts to and reads of the collections. */
internal class ServiceModel(
    settings: ServiceSettings,
) : StandinModel {
    private val controls = Controls(ServiceSettings.serializer(), settings)
    private val serviceEntries = ServiceEntries()

    override fun control(body: String): Result<JsonElement, String> = controls.apply(body, ::runAction)

    override fun state(): JsonElement = controlJson.encodeToJsonElement(serviceEntries.state(controls.now))

    private fun runAction(action: String): Boolean = (action == "reset").also { if (it) serviceEntries.reset() }

    override suspend fun handle(request: HttpRequest): HttpAnswer {
        val settings = controls.now
        if (settings.delayMs > 0) delay(settings.delayMs)
        val parts = request.path.trim('/').split('/')
        return when {
            settings.outage != Outage.None -> outageAnswer(settings.outage)
            request.method == "POST" && parts.size == 1 && parts[0] in collections -> post(parts[0], request)
            request.method == "GET" || request.method == "HEAD" -> get(parts)
            else -> errorAnswer(404, "not_found", "no call ${request.method} ${request.path}")
        }
    }

    private suspend fun post(
        collection: String,
        request: HttpRequest,
    ): HttpAnswer {
        if (controls.take({ it.failBefore }, { s, n -> s.copy(failBefore = n) })) return errorAnswer(503, "unavailable", "not executed")
        val body = jsonOrNull(request) ?: return errorAnswer(400, "bad_request", "the body is not JSON")
        val entry = serviceEntries.execute(collection, body, request)
        return when {
            controls.take({ it.dropAfter }, { s, n -> s.copy(dropAfter = n) }) -> withhold(controls.now.dropMode)
            controls.take({ it.failAfter }, { s, n -> s.copy(failAfter = n) }) -> errorAnswer(500, "failed", "failed after execution")
            else -> jsonAnswer(201, entry.copy(filler = fillerOrNull()))
        }
    }

    private fun get(parts: List<String>): HttpAnswer {
        val entries = serviceEntries.read(parts[0])
        val number = parts.getOrNull(1) ?: return jsonAnswer(200, entries.takeLast(MAX_LISTED))
        return entries.firstOrNull { "${it.number}" == number }?.let { jsonAnswer(200, it) }
            ?: errorAnswer(404, "not_found", "no such entry")
    }

    private fun fillerOrNull(): String? = controls.now.answerBytes
        .takeIf { it > 0 }
        ?.let { "x".repeat(it) }

    private fun jsonOrNull(request: HttpRequest): JsonElement? = try {
        controlJson.parseToJsonElement(request.body.decodeToString())
    } catch (_: IllegalArgumentException) {
        null
    }
}

private val collections = setOf("registrations", "holds")
private const val MAX_LISTED = 100
