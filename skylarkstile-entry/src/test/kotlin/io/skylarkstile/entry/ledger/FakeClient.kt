package io.skylarkstile.entry.ledger

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpFailure
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.wholeAnswer
import kotlinx.coroutines.awaitCancellation

/**
 * Simulates services by address: one in [refusing] refuses the connection, one in [silent] never answers, and one in [broken] resets the
 * connection after the request.
 */
internal class FakeClient : HttpClient {
    val refusing = mutableSetOf<String>()
    val silent = mutableSetOf<String>()
    val broken = mutableSetOf<String>()
    val sent = mutableListOf<Pair<String, HttpRequest>>()

    override suspend fun call(
        address: String,
        request: HttpRequest,
        idleTimeoutMs: Long,
        idempotent: Boolean,
        beforeSend: () -> Boolean,
    ): Result<HttpAnswer, HttpFailure> {
        if (address in refusing || !beforeSend()) return Err(HttpFailure.NotSent("refused"))
        sent += address to request
        if (address in silent) awaitCancellation()
        if (address in broken) return Err(HttpFailure.NoAnswer("reset"))
        return Ok(wholeAnswer(201, "text/plain", "ok".toByteArray()))
    }

    override fun close() = Unit
}

internal fun serviceTarget(
    address: String,
    dataCentre: String,
    draining: Boolean = false,
) = TargetRecord(1, TargetRecord.Type.Service, address, dataCentre, draining = draining, service = "svc")
