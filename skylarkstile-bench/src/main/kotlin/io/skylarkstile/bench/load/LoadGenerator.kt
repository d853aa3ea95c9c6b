/*
 * Sends a trace in open loop: every request starts at its own time, whatever happened to the earlier ones.
 */
package io.skylarkstile.bench.load

import com.github.michaelbull.result.fold
import io.skylarkstile.bench.trace.Arrival
import io.skylarkstile.bench.trace.Trace
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpFailure
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.headersOf
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/**
 * Sends requests for one fleet. [keys] holds a key for each workspace, [seeds] the addresses a caller knows at first. With [isMoving] all
 * callers ignore the address answers and go on to the next of [seeds] together.
 */
class LoadGenerator(
    private val client: HttpClient,
    private val seeds: List<String>,
    private val keys: Map<String, String>,
    private val isMoving: Boolean = false,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val book = AddressBook(client, seeds) { nanoTime() / NANOS_PER_MS }

    /** Sends [trace] and returns one record for each arrival, in order. */
    suspend fun run(trace: Trace): List<CallRecord> = coroutineScope {
        val start = nanoTime()
        trace.arrivals
            .map { arrival ->
                async(Dispatchers.Default) {
                    delay(arrival.atMs - elapsedMs(start).toLong())
                    call(arrival, start + arrival.atMs * NANOS_PER_MS)
                }
            }.awaitAll()
    }

    private suspend fun call(
        arrival: Arrival,
        intended: Long,
    ): CallRecord {
        val key = keys.getValue(arrival.workspace)
        var last = CallRecord(arrival, CallEnd.NotRun, null, 0.0, 0.0, 0, "no-address")
        val addresses = if (isMoving) rotated(arrival.atMs) else book.addresses(arrival.adapter, key)
        for (address in addresses.take(MAX_ADDRESSES)) {
            last = attempt(address, arrival, key, intended) ?: return last
            if (last.end != CallEnd.NotRun) return last
            book.forget(arrival.adapter, address)
        }
        return last
    }

    private fun rotated(atMs: Long): List<String> = seeds.indices.map { seeds[((atMs / MOVE_MS).toInt() + it) % seeds.size] }

    private suspend fun attempt(
        address: String,
        arrival: Arrival,
        key: String,
        intended: Long,
    ): CallRecord? = try {
        client.call(address, request(arrival, key), IDLE_TIMEOUT_MS).fold(
            success = { read(it, arrival, intended) },
            failure = {
                val end = if (it is HttpFailure.NotSent) CallEnd.NotRun else CallEnd.Unknown
                CallRecord(arrival, end, null, elapsedMs(intended), 0.0, 0, it.detail)
            },
        )
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        CallRecord(arrival, CallEnd.Unknown, null, elapsedMs(intended), 0.0, 0, "broken-off: ${e.message}")
    }

    private fun request(
        arrival: Arrival,
        key: String,
    ): HttpRequest {
        val body =
            buildJsonObject {
                put("model", arrival.adapter)
                put("prompt", arrival.prompt)
                put("max_tokens", arrival.maxTokens)
                put("stream", true)
            }
        val headers = headersOf("authorization" to "Bearer $key", "content-type" to "application/json")
        return HttpRequest("POST", "/v1/completions", headers = headers, body = body.toString().toByteArray())
    }

    private suspend fun read(
        answer: HttpAnswer,
        arrival: Arrival,
        intended: Long,
    ): CallRecord {
        if (answer.status != 200) return refusal(answer, arrival, intended)
        val reader = StreamReader(intended)
        answer.body.collect { reader.accept(it.decodeToString(), nanoTime()) }
        val end =
            if (reader.error != null) {
                CallEnd.Unknown
            } else if (reader.isWhole(arrival.maxTokens)) {
                CallEnd.Complete
            } else {
                CallEnd.Wrong
            }
        return CallRecord(arrival, end, reader.firstMs, elapsedMs(intended), reader.largestGapMs, reader.tokens, reader.error)
    }

    private suspend fun refusal(
        answer: HttpAnswer,
        arrival: Arrival,
        intended: Long,
    ): CallRecord {
        val problem = runCatching { Json.parseToJsonElement(answer.bytes().decodeToString()) as JsonObject }.getOrNull()
        val code = (problem?.get("type") as? JsonPrimitive)?.content?.substringAfterLast(':') ?: "status-${answer.status}"
        val notRun = (problem?.get("outcome") as? JsonPrimitive)?.content == "not-run"
        val end =
            if (answer.status == TOO_MANY) {
                CallEnd.Refused
            } else if (notRun) {
                CallEnd.NotRun
            } else {
                CallEnd.Unknown
            }
        return CallRecord(arrival, end, null, elapsedMs(intended), 0.0, 0, code)
    }

    private fun elapsedMs(since: Long): Double = (nanoTime() - since) / NANOS_PER_MS.toDouble()

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val IDLE_TIMEOUT_MS = 30_000L
        const val MAX_ADDRESSES = 3
        const val TOO_MANY = 429
        const val MOVE_MS = 10_000L
    }
}
