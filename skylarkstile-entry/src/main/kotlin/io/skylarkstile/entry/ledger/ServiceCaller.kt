/*
 * Calls a service once for each call that the ledger has recorded.
 */
package io.skylarkstile.entry.ledger

import com.github.michaelbull.result.fold
import io.skylarkstile.core.ledger.RunResult
import io.skylarkstile.entry.target.ServiceReplicas
import io.skylarkstile.schema.generated.LedgerCall
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpFailure
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.headersOf
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean

/** Calls services. */
fun interface ServiceCaller {
    /** Makes [call] within [timeoutMs] milliseconds. [maySend] is called directly before the first byte; on `false` nothing is sent. */
    suspend fun run(
        call: LedgerCall,
        timeoutMs: Long,
        maySend: () -> Boolean,
    ): RunResult
}

/** Creates a [ServiceCaller] that calls the least busy of [replicas] over HTTP. */
fun httpServiceCaller(
    client: HttpClient,
    replicas: ServiceReplicas,
    idleTimeoutMs: Long,
): ServiceCaller = HttpServiceCaller(client, replicas, idleTimeoutMs)

internal class HttpServiceCaller(
    private val client: HttpClient,
    private val replicas: ServiceReplicas,
    private val idleTimeoutMs: Long,
) : ServiceCaller {
    override suspend fun run(
        call: LedgerCall,
        timeoutMs: Long,
        maySend: () -> Boolean,
    ): RunResult {
        val sent = AtomicBoolean()
        val result = withTimeoutOrNull(timeoutMs) { tryReplicas(call) { maySend().also { if (it) sent.set(true) } } }
        return result
            ?: if (sent.get()) RunResult.NoAnswer("the call exceeded its deadline") else RunResult.NotSent("no replica was reached in time")
    }

    /** Tries the replicas one after the other, the next one only when no byte was sent to the previous one. */
    private suspend fun tryReplicas(
        call: LedgerCall,
        maySend: () -> Boolean,
    ): RunResult {
        var lastResult = RunResult.NotSent("service '${call.service}' has no replica")
        for (target in replicas.of(call.service).take(MAX_REPLICAS)) {
            val result = callReplica(target, call, maySend)
            if (result !is RunResult.NotSent) return result
            lastResult = result
        }
        return lastResult
    }

    private suspend fun callReplica(
        target: TargetRecord,
        call: LedgerCall,
        maySend: () -> Boolean,
    ): RunResult = replicas.occupy(target) {
        client.call(target.address, request(call), idleTimeoutMs, beforeSend = maySend).fold(
            success = { readAnswer(it) },
            failure = { if (it is HttpFailure.NotSent) RunResult.NotSent(it.detail) else RunResult.NoAnswer(it.detail) },
        )
    }

    private suspend fun readAnswer(answer: HttpAnswer): RunResult = try {
        RunResult.Answered(answer.status, answer.headers["content-type"] ?: "application/octet-stream", answer.bytes(MAX_ANSWER_BYTES))
    } catch (e: HttpBodyException) {
        RunResult.NoAnswer("the response was cut short: ${e.message}")
    }

    /** Forwards the idempotency key, so that the service can detect repeats itself. The caller's API key is not part of a call. */
    private fun request(call: LedgerCall): HttpRequest {
        val fields = headersOf("content-type" to call.contentType, "idempotency-key" to call.key, "x-request-id" to call.requestId)
        val headers = call.traceparent?.let { fields + ("traceparent" to it) } ?: fields
        return HttpRequest(call.method, call.path.substringBefore('?'), headers = headers, body = call.body, rawUri = call.path)
    }

    private companion object {
        const val MAX_REPLICAS = 3

        /** Maximum size of a response; with its envelope it must fit into one frame of a peer link (1 MiB) to be forwarded. */
        const val MAX_ANSWER_BYTES = 1_000_000
    }
}
