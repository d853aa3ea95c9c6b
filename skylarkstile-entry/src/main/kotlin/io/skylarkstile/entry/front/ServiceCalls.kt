/*
 * Answers calls of plain services: idempotent ones are sent to a replica directly and repeated on another one when that helps,
 * the others go through the ledger.
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
        val name = request.path.removePrefix("/svc/").substringBefore('/')
        val route = snapshot.routes[name]?.takeIf { it.type == RouteRecord.Type.Service && it.service != null && mayUse(it, caller) }
        if (route == null) {
            val problem =
                if (caller is Caller.Anonymous) {
                    unauthorized()
                } else {
                    notFound(
                        "there is no service route '${name.take(MAX_SHOWN)}' for this key",
                    )
                }
            return problem.answer(ids.requestId)
        }
        val key = request.headers["idempotency-key"]
        if (key != null && !IDEMPOTENCY_KEY.matches(key)) {
            return badRequest("Idempotency-Key is not 1 to 255 printable characters").answer(ids.requestId)
        }
        val admitted =
            when (val a = limiter.admit(route.workspace, 0)) {
                is Admission.Refused -> return a.problem().also { metrics.refused(route.workspace, a.reason) }.answer(ids.requestId)
                is Admission.Admitted -> a
            }
        val start = clock()
        val path = request.rawUri.removePrefix("/svc/$name").let { if (it.startsWith("/")) it else "/$it" }
        val idempotent = request.method in route.idempotentMethods.split(',').map { it.trim() }
        val call = running.begin((caller as? Caller.Known)?.keyId, caller.workspaceOrNull ?: route.workspace, start)
        val answer =
            try {
                endedBy(call, ids) {
                    if (idempotent) {
                        repeatable(request, path, ids, route, admitted)
                    } else {
                        once(request, path, ids, caller, name, route, key, admitted)
                    }
                }
            } finally {
                running.end(call)
                // Only the first settlement counts, so this one is for calls that ended early: they may have run.
                admitted.settle(0)
            }
        metrics.finished(route.workspace, "service-${answer.status}", clock() - start, 0)
        return answer
    }

    /** Runs [work] until it is done or the running call is ended early, by a withdrawn key or a lost lease. */
    private suspend fun endedBy(
        call: RunningCall,
        ids: RequestIds,
        work: suspend () -> HttpAnswer,
    ): HttpAnswer = coroutineScope {
        val answer = async { work() }
        select {
            answer.onAwait { it }
            call.ended.onAwait { problem -> problem.answer(ids.requestId).also { answer.cancel() } }
        }
    }

    private fun mayUse(
        route: RouteRecord,
        caller: Caller,
    ): Boolean = route.open || route.workspace == caller.workspaceOrNull

    private suspend fun repeatable(
        request: HttpRequest,
        path: String,
        ids: RequestIds,
        route: RouteRecord,
        admitted: Admission.Admitted,
    ): HttpAnswer {
        val forwarded = HttpRequest(request.method, path, headers = forwardedHeaders(request, ids), body = request.body, rawUri = path)
        var last: HttpAnswer? = null
        for (target in replicas.of(route.service.orEmpty()).take(MAX_ATTEMPTS)) {
            val answer = tryOnce(target, forwarded)
            if (answer != null && answer.status < SERVER_ERROR) return answer.also { admitted.settle(0) }
            last = answer ?: last
        }
        admitted.settle(0)
        return last ?: Problem(502, "service-failed", "no replica of '${route.service}' answered", Outcome.Unknown).answer(ids.requestId)
    }

    private suspend fun tryOnce(
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

    private suspend fun once(
        request: HttpRequest,
        path: String,
        ids: RequestIds,
        caller: Caller,
        name: String,
        route: RouteRecord,
        key: String?,
        admitted: Admission.Admitted,
    ): HttpAnswer {
        val call =
            LedgerCall(
                requestId = ids.requestId,
                workspace = caller.workspaceOrNull ?: "",
                route = name,
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
        return answer.toHttp(ids)
    }

    private fun forwardedHeaders(
        request: HttpRequest,
        ids: RequestIds,
    ): HttpHeaders {
        // Only these fields are passed on, so a key can't reach a target in any header.
        val kept = listOf("content-type", "accept", "idempotency-key").mapNotNull { n -> request.headers[n]?.let { n to it } }
        return HttpHeaders(kept + ("x-request-id" to ids.requestId) + ("traceparent" to ids.traceparent))
    }

    private companion object {
        const val MAX_ATTEMPTS = 3
        const val SERVER_ERROR = 500
        const val MAX_SHOWN = 100
        val IDEMPOTENCY_KEY = Regex("[\\x21-\\x7e]{1,255}")
    }
}

private fun LedgerAnswer.toHttp(ids: RequestIds): HttpAnswer {
    val answerBody = body
    val answerStatus = status
    if (outcome == LedgerAnswer.Outcome.Done && answerStatus != null && answerBody != null) {
        val replay = if (replayed) headersOf("idempotent-replay" to "true") else HttpHeaders()
        return wholeAnswer(answerStatus, contentType ?: "application/octet-stream", answerBody, replay)
    }
    val code = reason ?: "service-failed"
    val text = detail ?: "the call ended without an answer"
    return when (outcome) {
        LedgerAnswer.Outcome.Done -> Problem(409, code, text, Outcome.Done)
        LedgerAnswer.Outcome.NotRun -> Problem(answerStatus ?: 503, code, text, Outcome.NotRun, retryAfterMs)
        LedgerAnswer.Outcome.Unknown -> Problem(502, code, text, Outcome.Unknown)
    }.answer(ids.requestId)
}
