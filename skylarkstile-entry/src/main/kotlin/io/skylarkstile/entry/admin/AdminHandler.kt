/*
 * The operators' port: health, readiness, metrics and the state dump. It is apart from the callers' port, so that operators
 * see the instance also while callers flood it.
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

/** Gives one named part of the state dump. */
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
        else -> text(404, "there is /healthz, /readyz, /metrics and /dump\n")
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
