/*
 * The one call of a service that a recorded intent allows.
 */
package io.skylarkstile.entry.ledger

import com.github.michaelbull.result.fold
import io.skylarkstile.core.ledger.RunResult
import io.skylarkstile.core.snapshot.SnapshotSource
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
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Makes calls of services. */
fun interface ServiceCaller {
    /** Makes [call] within [timeoutMs] milliseconds. [maySend] is asked directly before the first byte; `false` sends nothing. */
    suspend fun run(
        call: LedgerCall,
        timeoutMs: Long,
        maySend: () -> Boolean,
    ): RunResult
}

/** Creates a [ServiceCaller] that calls replicas over HTTP, those of [dataCentre] first among equally busy ones. */
fun httpServiceCaller(
    client: HttpClient,
    snapshots: SnapshotSource,
    dataCentre: String,
    idleTimeoutMs: Long,
): ServiceCaller = HttpServiceCaller(client, snapshots, dataCentre, idleTimeoutMs)

internal class HttpServiceCaller(
    private val client: HttpClient,
    private val snapshots: SnapshotSource,
    private val dataCentre: String,
    private val idleTimeoutMs: Long,
) : ServiceCaller {
    private val busy = ConcurrentHashMap<String, AtomicInteger>()

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

    /** Tries another replica only when no byte was sent to the previous one. */
    private suspend fun tryReplicas(
        call: LedgerCall,
        maySend: () -> Boolean,
    ): RunResult {
        var last = RunResult.NotSent("there is no replica of service '${call.service}'")
        for (target in replicas(call.service).take(MAX_REPLICAS)) {
            val result = tryOne(target, call, maySend)
            if (result !is RunResult.NotSent) return result
            last = result
        }
        return last
    }

    private suspend fun tryOne(
        target: TargetRecord,
        call: LedgerCall,
        maySend: () -> Boolean,
    ): RunResult {
        val count = busy.computeIfAbsent(target.address) { AtomicInteger() }
        count.incrementAndGet()
        try {
            return client.call(target.address, request(call), idleTimeoutMs, beforeSend = maySend).fold(
                success = { answered(it) },
                failure = { if (it is HttpFailure.NotSent) RunResult.NotSent(it.detail) else RunResult.NoAnswer(it.detail) },
            )
        } finally {
            count.decrementAndGet()
        }
    }

    private suspend fun answered(answer: HttpAnswer): RunResult = try {
        RunResult.Answered(answer.status, answer.headers["content-type"] ?: "application/octet-stream", answer.bytes(MAX_ANSWER_BYTES))
    } catch (e: HttpBodyException) {
        RunResult.NoAnswer("the answer broke off: ${e.message}")
    }

    /** Passes on the idempotency key, so that the service can recognise a repeat itself; the caller's API key is not part of a call. */
    private fun request(call: LedgerCall): HttpRequest {
        val fields = headersOf("content-type" to call.contentType, "idempotency-key" to call.key, "x-request-id" to call.requestId)
        val headers = call.traceparent?.let { fields + ("traceparent" to it) } ?: fields
        return HttpRequest(call.method, call.path.substringBefore('?'), headers = headers, body = call.body, rawUri = call.path)
    }

    private fun replicas(service: String): List<TargetRecord> {
        val snapshot = snapshots.current()
        return snapshot.targets
            .filter { (name, target) -> isUsable(target, service) && name !in snapshot.leavingTargets }
            .values
            .sortedWith(compareBy({ busy[it.address]?.get() ?: 0 }, { it.dataCentre != dataCentre }, { it.address }))
    }

    private fun isUsable(
        target: TargetRecord,
        service: String,
    ) = target.type == TargetRecord.Type.Service && target.service == service && !target.draining

    private companion object {
        const val MAX_REPLICAS = 3

        /** A forwarded answer must fit into one frame of a link (1 MiB) with its envelope. */
        const val MAX_ANSWER_BYTES = 1_000_000
    }
}
