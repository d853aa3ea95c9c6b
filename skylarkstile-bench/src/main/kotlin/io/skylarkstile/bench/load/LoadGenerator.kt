/*
 * Open-loop load generator: every request of a trace starts at its scheduled time, even while earlier requests are still running.
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
 * Sends requests to one fleet. [keys] holds a key for each workspace, [seeds] the addresses that a caller knows at the start. With
 * [isMoving] all callers ignore address answers and switch to the next of [seeds] every 10 s at the same time.
 */
class LoadGenerator(
    private val client: HttpClient,
    private val seeds: List<String>,
    private val keys: Map<String, String>,
    private val isMoving: Boolean = false,
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private val addressBook = AddressBook(client, seeds) { nanoTime() / NANOS_PER_MS }

    /** Sends the requests of [trace] and returns one record for each arrival, in the order of the arrivals. */
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
        intendedNanos: Long,
    ): CallRecord {
        val key = keys.getValue(arrival.workspace)
        var lastRecord = CallRecord(arrival, CallEnd.NotRun, null, 0.0, 0.0, 0, "no-address")
        val addresses = if (isMoving) rotatedSeeds(arrival.atMs) else addressBook.addresses(arrival.adapter, key)
        for (address in addresses.take(MAX_ADDRESSES)) {
            lastRecord = attempt(address, arrival, key, intendedNanos) ?: return lastRecord
            if (lastRecord.end != CallEnd.NotRun) return lastRecord
            addressBook.expire(arrival.adapter, address)
        }
        return lastRecord
    }

    private fun rotatedSeeds(atMs: Long): List<String> = seeds.indices.map { seeds[((atMs / MOVE_INTERVAL_MS).toInt() + it) % seeds.size] }

    private suspend fun attempt(
        address: String,
        arrival: Arrival,
        key: String,
        intendedNanos: Long,
    ): CallRecord? = try {
        client.call(address, request(arrival, key), IDLE_TIMEOUT_MS).fold(
            success = { readStream(it, arrival, intendedNanos) },
            failure = {
                val end = if (it is HttpFailure.NotSent) CallEnd.NotRun else CallEnd.Unknown
                CallRecord(arrival, end, null, elapsedMs(intendedNanos), 0.0, 0, it.detail)
            },
        )
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        CallRecord(arrival, CallEnd.Unknown, null, elapsedMs(intendedNanos), 0.0, 0, "broken-off: ${e.message}")
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

    private suspend fun readStream(
        answer: HttpAnswer,
        arrival: Arrival,
        intendedNanos: Long,
    ): CallRecord {
        if (answer.status != 200) return readError(answer, arrival, intendedNanos)
        val reader = StreamReader(intendedNanos)
        answer.body.collect { reader.accept(it.decodeToString(), nanoTime()) }
        val end =
            if (reader.error != null) {
                CallEnd.Unknown
            } else if (reader.isComplete(arrival.maxTokens)) {
                CallEnd.Complete
            } else {
                CallEnd.Wrong
            }
        return CallRecord(arrival, end, reader.firstMs, elapsedMs(intendedNanos), reader.largestGapMs, reader.tokens, reader.error)
    }

    private suspend fun readError(
        answer: HttpAnswer,
        arrival: Arrival,
        intendedNanos: Long,
    ): CallRecord {
        val problem = runCatching { Json.parseToJsonElement(answer.bytes().decodeToString()) as JsonObject }.getOrNull()
        val code = (problem?.get("type") as? JsonPrimitive)?.content?.substringAfterLast(':') ?: "status-${answer.status}"
        val notRun = (problem?.get("outcome") as? JsonPrimitive)?.content == "not-run"
        val end =
            if (answer.status == TOO_MANY_REQUESTS) {
                CallEnd.Refused
            } else if (notRun) {
                CallEnd.NotRun
            } else {
                CallEnd.Unknown
            }
        return CallRecord(arrival, end, null, elapsedMs(intendedNanos), 0.0, 0, code)
    }

    private fun elapsedMs(since: Long): Double = (nanoTime() - since) / NANOS_PER_MS.toDouble()

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val IDLE_TIMEOUT_MS = 30_000L
        const val MAX_ADDRESSES = 3
        const val TOO_MANY_REQUESTS = 429
        const val MOVE_INTERVAL_MS = 10_000L
    }
}
