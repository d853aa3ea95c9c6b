/*
 * Handles HTTP requests of callers: identifies the caller and dispatches the request to the component that answers it.
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpHandler
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.wholeAnswer
import kotlinx.serialization.Serializable

@Serializable
internal data class AddressAnswer(
    val addresses: List<String>,
    val ttlMs: Int,
)

@Serializable
internal data class ModelList(
    val data: List<ModelEntry>,
) {
    @Suppress("ktlint:standard:property-naming")
    val `object`: String = "list"
}

@Serializable
internal data class ModelEntry(
    val id: String,
)

internal class FrontHandler(
    private val snapshots: SnapshotSource,
    private val verifier: KeyVerifier,
    private val cluster: ClusterView,
    private val runner: ModelRunner,
    private val models: ModelCalls,
    private val services: ServiceCalls,
    private val addressTtlMs: Int,
    private val notReadyReason: () -> String?,
) : HttpHandler {
    override suspend fun handle(request: HttpRequest): HttpAnswer {
        val ids = requestIds(request)
        val answer = route(request, ids)
        val headers = answer.headers + ("x-request-id" to ids.requestId) + ("traceparent" to ids.traceparent)
        return HttpAnswer(answer.status, headers, answer.body, answer.length)
    }

    private suspend fun route(
        request: HttpRequest,
        ids: RequestIds,
    ): HttpAnswer {
        val snapshot = snapshots.current()
        if (snapshot.revision == 0L) return notReadyProblem("no configuration has been read yet").toHttpAnswer(ids.requestId)
        val caller = verifier.callerOrNull(snapshot, request) ?: return unauthorized().toHttpAnswer(ids.requestId)
        if (request.path == "/v1/address") return address(request, ids, caller)
        notReadyReason()?.let { return notReadyProblem(it).toHttpAnswer(ids.requestId) }
        return when {
            request.path == "/v1/models" -> requireMethod(request, "GET", ids) { models(caller) }
            request.path == "/v1/completions" || request.path == "/v1/chat/completions" ->
                requireMethod(request, "POST", ids) { models.answer(request, ids, caller, snapshot) }
            request.path.startsWith("/svc/") -> services.answer(request, ids, caller, snapshot)
            else -> notFound("there is nothing at ${request.path.take(MAX_ECHOED_CHARS)}").toHttpAnswer(ids.requestId)
        }
    }

    private inline fun requireMethod(
        request: HttpRequest,
        method: String,
        ids: RequestIds,
        answer: () -> HttpAnswer,
    ): HttpAnswer = if (request.method == method) {
        answer()
    } else {
        Problem(405, "method-not-allowed", "use $method for ${request.path}", Outcome.NotRun).toHttpAnswer(ids.requestId)
    }

    private fun models(caller: Caller): HttpAnswer {
        val list = ModelList(snapshots.current().modelsFor(caller.workspaceOrNull).map { ModelEntry(it) })
        return wholeAnswer(200, "application/json", recordJson.encodeToString(ModelList.serializer(), list).toByteArray())
    }

    private fun address(
        request: HttpRequest,
        ids: RequestIds,
        caller: Caller,
    ): HttpAnswer {
        val active = cluster.members().filter { it.state == Member.State.Active }
        if (active.isEmpty()) return notReadyProblem("no active instance is known").toHttpAnswer(ids.requestId)
        val model = request.query["model"]?.let { snapshots.current().resolveModelOrNull(it, caller.workspaceOrNull) }
        val owner = model?.let { runner.likelyOwnerOrNull(it.adapter, it.version) }
        val ownDataCentre = cluster.members().firstOrNull { it.instance == cluster.self }?.dataCentre
        val sorted =
            active.sortedWith(
                compareBy({
                    it.instance != owner
                }, { it.dataCentre != ownDataCentre }, { it.instance != cluster.self }, { it.instance }),
            )
        val answer = AddressAnswer(sorted.map { it.callerAddress }, addressTtlMs)
        return wholeAnswer(200, "application/json", recordJson.encodeToString(AddressAnswer.serializer(), answer).toByteArray())
    }

    private fun notReadyProblem(detail: String) = Problem(503, "not-ready", detail, Outcome.NotRun, RETRY_AFTER_MS)

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val MAX_ECHOED_CHARS = 100
    }
}
