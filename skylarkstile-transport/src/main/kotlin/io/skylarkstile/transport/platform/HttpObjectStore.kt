/*
 * HTTP client of the object API. It never retries a call: the caller decides whether a write may be retried.
 */
package io.skylarkstile.transport.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpFailure
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.headersOf
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.net.URLEncoder

/** Creates a client of the object API at [address] (`ip:port`). Calls time out after [timeoutMs] ms, a watch that much after its wait. */
fun objectStore(
    address: String,
    client: HttpClient,
    timeoutMs: Long,
): ObjectStore = HttpObjectStore(address, client, timeoutMs)

private class HttpObjectStore(
    private val address: String,
    private val client: HttpClient,
    private val timeoutMs: Long,
) : ObjectStore {
    override suspend fun get(
        kind: String,
        name: String,
    ): Result<StoredRecord?, StoreError> =
        send("GET", objectPath(kind, name)).andThen { if (it.status == 404) Ok(null) else it.decode(StoredRecord.serializer()) }

    override suspend fun list(kinds: List<String>): Result<RecordList, StoreError> =
        send("GET", "/v1/objects", kinds.map { "kind" to it }).andThen { it.decode(RecordList.serializer()) }

    override suspend fun put(
        kind: String,
        name: String,
        value: String,
        ifVersion: Long?,
    ): Result<StoredRecord, StoreError> = send("PUT", objectPath(kind, name), versionQuery(ifVersion), value.encodeToByteArray())
        .andThen { it.decode(StoredRecord.serializer()) }
        .map { it.copy(value = value) }

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long?,
    ): Result<Unit, StoreError> =
        send("DELETE", objectPath(kind, name), versionQuery(ifVersion)).andThen { if (it.status == 404) Ok(Unit) else it.orError().map { } }

    override suspend fun watch(
        kinds: List<String>,
        after: Long,
        waitMs: Long,
    ): Result<RecordList, StoreError> {
        val query = kinds.map { "kind" to it } + ("after" to "$after") + ("waitMs" to "$waitMs")
        return send("GET", "/v1/watch", query, limitMs = waitMs + timeoutMs).andThen { it.decode(RecordList.serializer()) }
    }

    override suspend fun instances(): Result<List<ListedInstance>, StoreError> =
        send("GET", "/v1/instances").andThen { it.decode(ListSerializer(ListedInstance.serializer())) }

    private suspend fun send(
        method: String,
        path: String,
        query: List<Pair<String, String>> = emptyList(),
        body: ByteArray = ByteArray(0),
        limitMs: Long = timeoutMs,
    ): Result<StoreResponse, StoreError> {
        val isWrite = method != "GET"
        val request = HttpRequest(method, path, headers = jsonHeaders, body = body, rawUri = path + queryString(query))
        return withTimeoutOrNull(limitMs) { exchange(request, limitMs, isWrite) }
            ?: Err(StoreError.Unavailable("no response within $limitMs ms", isWrite))
    }

    private suspend fun exchange(
        request: HttpRequest,
        limitMs: Long,
        isWrite: Boolean,
    ): Result<StoreResponse, StoreError> {
        val response =
            client
                .call(address, request, idleTimeoutMs = limitMs, idempotent = !isWrite)
                .getOrElse { return Err(unavailable(it, isWrite)) }
        return try {
            Ok(StoreResponse(response.status, response.bytes(), isWrite))
        } catch (e: HttpBodyException) {
            Err(StoreError.Unavailable(e.message ?: "the response ended early", isWrite))
        }
    }

    private fun unavailable(
        failure: HttpFailure,
        isWrite: Boolean,
    ): StoreError = StoreError.Unavailable(failure.detail, isWrite && failure is HttpFailure.NoAnswer)

    private fun objectPath(
        kind: String,
        name: String,
    ): String = "/v1/objects/${urlEncoded(kind)}/${urlEncoded(name)}"

    private fun versionQuery(ifVersion: Long?): List<Pair<String, String>> = listOfNotNull(ifVersion?.let { "ifVersion" to "$it" })

    private fun queryString(query: List<Pair<String, String>>): String =
        if (query.isEmpty()) "" else query.joinToString("&", "?") { (name, value) -> "$name=${urlEncoded(value)}" }

    private fun urlEncoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
}

/** Holds one response of the object API with its complete body. */
private class StoreResponse(
    val status: Int,
    private val body: ByteArray,
    private val isWrite: Boolean,
) {
    fun <T> decode(deserializer: DeserializationStrategy<T>): Result<T, StoreError> = orError().andThen {
        try {
            Ok(recordJson.decodeFromString(deserializer, body.decodeToString()))
        } catch (e: IllegalArgumentException) {
            Err(StoreError.Unavailable("malformed response: ${e.message}", isWrite))
        }
    }

    fun orError(): Result<StoreResponse, StoreError> = if (status in 200..299) Ok(this) else Err(error())

    /** Maps an error status. After a 5xx response to a write it is unknown whether the write was applied. */
    private fun error(): StoreError = when (status) {
        409 -> conflict()
        410 -> StoreError.HistoryGone
        429 -> StoreError.Throttled
        in 400..499 -> StoreError.Rejected("status $status: ${detail()}")
        else -> StoreError.Unavailable("status $status: ${detail()}", isWrite)
    }

    private fun conflict(): StoreError = try {
        StoreError.Conflict(recordJson.decodeFromString<ConflictBody>(body.decodeToString()).currentVersion)
    } catch (e: IllegalArgumentException) {
        StoreError.Unavailable("malformed conflict response: ${e.message}", isWrite)
    }

    private fun detail(): String = body.decodeToString().take(MAX_DETAIL_CHARS)
}

@Serializable
private data class ConflictBody(
    val currentVersion: Long,
)

private val jsonHeaders = headersOf("content-type" to "application/json")
private const val MAX_DETAIL_CHARS = 200
