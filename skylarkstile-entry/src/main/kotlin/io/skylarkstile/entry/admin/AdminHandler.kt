/*
 * Serves health, readiness, metrics and the state dump to operators. It has a port of its own, so that operators can reach the instance
 * while callers overload it.
 */
package io.skylarkstile.entry.admin

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpHandler
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.wholeAnswer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.io.ByteArrayOutputStream

/** Describes one named section of the state dump; [read] returns its current content. */
internal data class DumpSection(
    val name: String,
    val read: () -> JsonElement,
)

internal class AdminHandler(
    private val registry: PrometheusRegistry,
    private val notReadyReason: () -> String?,
    private val sections: List<DumpSection>,
) : HttpHandler {
    override suspend fun handle(request: HttpRequest): HttpAnswer = when (request.path) {
        "/healthz" -> text(200, "ok\n")
        "/readyz" -> notReadyReason()?.let { text(503, "$it\n") } ?: text(200, "ready\n")
        "/metrics" -> metrics()
        "/dump" -> wholeAnswer(200, "application/json", DUMP_JSON.encodeToString(JsonElement.serializer(), dump()).toByteArray())
        else -> text(404, "unknown path; use /healthz, /readyz, /metrics or /dump\n")
    }

    private fun dump() = JsonObject(sections.associate { it.name to it.read() })

    private fun metrics(): HttpAnswer {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return wholeAnswer(200, PrometheusTextFormatWriter.CONTENT_TYPE, out.toByteArray())
    }

    private fun text(
        status: Int,
        text: String,
    ) = wholeAnswer(status, "text/plain; charset=utf-8", text.toByteArray())

    private companion object {
        val DUMP_JSON = Json { prettyPrint = true }
    }
}
