/*
 * Handles calls of plain services. Idempotent calls are sent to a replica directly and retried on another replica after a failure or a
 * server error; the others go through the ledger.
 */
package io.skylarkstile.entry.front

import com.github.michaelbull.result.fold
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.limit.AdmissionLimiter
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.entry.target.ServiceReplicas
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.LedgerCall
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.headersOf
import io.skylarkstile.transport.http.wholeAnswer
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import java.util.UUID

/** Settings of [ServiceCalls]; times in milliseconds. */
internal data class ServiceCallSettings(
    val idleTimeoutMs: Long,
    val requestTimeoutMs: Long,
)

internal class ServiceCalls(
    private val client: HttpClient,
    private val replicas: ServiceReplicas,
    private val limiter: AdmissionLimiter,
    private val ledger: LedgerRunner,
    private val running: RunningCalls,
    private val metrics: FrontMetrics,
    private val settings: ServiceCallSettings,
    private val clock: () -> Long,
) {
    suspend fun answer(
        request: HttpRequest,
        ids: RequestIds,
        caller: Caller,
        snapshot: Snapshot,
    ): HttpAnswer {
        val routeName = request.path.removePrefix("/svc/").substringBefore('/')
        val route = snapshot.routes[routeName]?.takeIf { it.type == RouteRecord.Type.Service && it.service != null && mayUse(it, caller) }
        if (route == null) {
            val problem =
                if (caller is Caller.Anonymous) {
                    unauthorized()
                } else {
                    notFound(
                        "there is no service route '${routeName.take(MAX_ECHOED_CHARS)}' for this key",
                    )
                }
            return problem.toHttpAnswer(ids.requestId)
        }
        val key = request.headers["idempotency-key"]
        if (key != null && !IDEMPOTENCY_KEY.matches(key)) {
            return badRequest("Idempotency-Key is not 1 to 255 printable characters").toHttpAnswer(ids.requestId)
        }
        val admitted =
            when (val admission = limiter.admit(route.workspace, 0)) {
                is Admission.Refused ->
                    return admission
                        .toProblem()
                        .also {
                            metrics.countRefusal(route.workspace, admission.reason)
                        }.toHttpAnswer(ids.requestId)
                is Admission.Admitted -> admission
            }
        val start = clock()
        val path = request.rawUri.removePrefix("/svc/$routeName").let { if (it.startsWith("/")) it else "/$it" }
        val isIdempotent = request.method in route.idempotentMethods.split(',').map { it.trim() }
        val call = running.begin((caller as? Caller.Authenticated)?.keyId, caller.workspaceOrNull ?: route.workspace, start)
        val answer =
            try {
                endEarlyOn(call, ids) {
                    if (isIdempotent) {
                        callIdempotent(request, path, ids, route, admitted)
                    } else {
                        callThroughLedger(request, path, ids, caller, routeName, route, key, admitted)
                    }
                }
            } finally {
                running.end(call)
                // Only the first settlement counts, so this one affects calls that ended early; they are charged because they may have run.
                admitted.settle(0)
            }
        metrics.recordFinished(route.workspace, "service-${answer.status}", clock() - start, 0)
        return answer
    }

    /** Runs [work] until it completes or [call] is ended early, by a withdrawn key or the isolation of the instance. */
    private suspend fun endEarlyOn(
        call: RunningCall,
        ids: RequestIds,
        work: suspend () -> HttpAnswer,
    ): HttpAnswer = coroutineScope {
        val answer = async { work() }
        select {
            answer.onAwait { it }
            call.endSignal.onAwait { problem -> problem.toHttpAnswer(ids.requestId).also { answer.cancel() } }
        }
    }

    private fun mayUse(
        route: RouteRecord,
        caller: Caller,
    ): Boolean = route.open || route.workspace == caller.workspaceOrNull

    private suspend fun callIdempotent(
        request: HttpRequest,
        path: String,
        ids: RequestIds,
        route: RouteRecord,
        admitted: Admission.Admitted,
    ): HttpAnswer {
        val forwarded = HttpRequest(request.method, path, headers = forwardedHeaders(request, ids), body = request.body, rawUri = path)
        var lastAnswer: HttpAnswer? = null
        for (target in replicas.of(route.service.orEmpty()).take(MAX_ATTEMPTS)) {
            val answer = tryReplica(target, forwarded)
            if (answer != null && answer.status < SERVER_ERROR) return answer.also { admitted.settle(0) }
            lastAnswer = answer ?: lastAnswer
        }
        admitted.settle(0)
        return lastAnswer
            ?: Problem(502, "service-failed", "no replica of '${route.service}' answered", Outcome.Unknown).toHttpAnswer(ids.requestId)
    }

    private suspend fun tryReplica(
        target: TargetRecord,
        request: HttpRequest,
    ): HttpAnswer? = replicas.occupy(target) {
        try {
            client.call(target.address, request, settings.idleTimeoutMs, idempotent = true).fold(
                success = { wholeAnswer(it.status, it.headers["content-type"] ?: "application/octet-stream", it.bytes()) },
                failure = { null },
            )
        } catch (_: HttpBodyException) {
            null
        }
    }

    private suspend fun callThroughLedger(
        request: HttpRequest,
        path: String,
        ids: RequestIds,
        caller: Caller,
        routeName: String,
        route: RouteRecord,
        key: String?,
        admitted: Admission.Admitted,
    ): HttpAnswer {
        val call =
            LedgerCall(
                requestId = ids.requestId,
                workspace = caller.workspaceOrNull ?: "",
                route = routeName,
                service = route.service!!,
                key = key ?: "made-${UUID.randomUUID()}",
                method = request.method,
                path = path,
                contentType = request.headers["content-type"] ?: "application/octet-stream",
                body = request.body,
                deadlineMs = settings.requestTimeoutMs,
                traceparent = ids.traceparent,
            )
        val answer = ledger.call(call)
        if (answer.outcome == LedgerAnswer.Outcome.NotRun) admitted.cancel() else admitted.settle(0)
        return answer.toHttpAnswer(ids)
    }

    private fun forwardedHeaders(
        request: HttpRequest,
        ids: RequestIds,
    ): HttpHeaders {
        // Forwards only these fields, so that no header can carry the caller's API key to a target.
        val forwardedFields = listOf("content-type", "accept", "idempotency-key").mapNotNull { n -> request.headers[n]?.let { n to it } }
        return HttpHeaders(forwardedFields + ("x-request-id" to ids.requestId) + ("traceparent" to ids.traceparent))
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val SERVER_ERROR = 500
        const val MAX_ECHOED_CHARS = 100
        val IDEMPOTENCY_KEY = Regex("[\\x21-\\x7e]{1,255}")
    }
}

private fun LedgerAnswer.toHttpAnswer(ids: RequestIds): HttpAnswer {
    val answerBody = body
    val answerStatus = status
    if (outcome == LedgerAnswer.Outcome.Done && answerStatus != null && answerBody != null) {
        val replay = if (replayed) headersOf("idempotent-replay" to "true") else HttpHeaders()
        return wholeAnswer(answerStatus, contentType ?: "application/octet-stream", answerBody, replay)
    }
    val code = reason ?: "service-failed"
    val text = detail ?: "the call ended without a response"
    return when (outcome) {
        LedgerAnswer.Outcome.Done -> Problem(409, code, text, Outcome.Done)
        LedgerAnswer.Outcome.NotRun -> Problem(answerStatus ?: 503, code, text, Outcome.NotRun, retryAfterMs)
        LedgerAnswer.Outcome.Unknown -> Problem(502, code, text, Outcome.Unknown)
    }.toHttpAnswer(ids.requestId)
}
