/*
 * The client of the object API over HTTP. It never repeats a call on its own: whether a write may be repeated is decided by its caller.
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

/** Creates a client of the object API at [address] (`ip:port`); each call takes at most [timeoutMs] milliseconds, a watch its wait longer. */
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
    ): Result<StoredRecord, StoreError> = send("PUT", objectPath(kind, name), condition(ifVersion), value.encodeToByteArray())
        .andThen { it.decode(StoredRecord.serializer()) }
        .map { it.copy(value = value) }

    override suspend fun delete(
        kind: String,
        name: String,
        ifVersion: Long?,
    ): Result<Unit, StoreError> =
        send("DELETE", objectPath(kind, name), condition(ifVersion)).andThen { if (it.status == 404) Ok(Unit) else it.success().map { } }

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
    ): Result<StoreAnswer, StoreError> {
        val writes = method != "GET"
        val request = HttpRequest(method, path, headers = jsonHeaders, body = body, rawUri = path + queryText(query))
        return withTimeoutOrNull(limitMs) { exchange(request, limitMs, writes) }
            ?: Err(StoreError.Unavailable("no answer within $limitMs ms", writes))
    }

    private suspend fun exchange(
        request: HttpRequest,
        limitMs: Long,
        writes: Boolean,
    ): Result<StoreAnswer, StoreError> {
        val answer =
            client
                .call(address, request, idleTimeoutMs = limitMs, idempotent = !writes)
                .getOrElse { return Err(unavailable(it, writes)) }
        return try {
            Ok(StoreAnswer(answer.status, answer.bytes(), writes))
        } catch (e: HttpBodyException) {
            Err(StoreError.Unavailable(e.message ?: "answer broke off", writes))
        }
    }

    private fun unavailable(
        failure: HttpFailure,
        writes: Boolean,
    ): StoreError = StoreError.Unavailable(failure.detail, writes && failure is HttpFailure.NoAnswer)

    private fun objectPath(
        kind: String,
        name: String,
    ): String = "/v1/objects/${encoded(kind)}/${encoded(name)}"

    private fun condition(ifVersion: Long?): List<Pair<String, String>> = listOfNotNull(ifVersion?.let { "ifVersion" to "$it" })

    private fun queryText(query: List<Pair<String, String>>): String =
        if (query.isEmpty()) "" else query.joinToString("&", "?") { (name, value) -> "$name=${encoded(value)}" }

    private fun encoded(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20")
}

/** One answer of the object API, read whole. */
private class StoreAnswer(
    val status: Int,
    private val body: ByteArray,
    private val writes: Boolean,
) {
    fun <T> decode(form: DeserializationStrategy<T>): Result<T, StoreError> = success().andThen {
        try {
            Ok(recordJson.decodeFromString(form, body.decodeToString()))
        } catch (e: IllegalArgumentException) {
            Err(StoreError.Unavailable("malformed answer: ${e.message}", writes))
        }
    }

    fun success(): Result<StoreAnswer, StoreError> = if (status in 200..299) Ok(this) else Err(error())

    /** A 5xx answer to a write does not tell whether the write took effect. */
    private fun error(): StoreError = when (status) {
        409 -> conflict()
        410 -> StoreError.HistoryGone
        429 -> StoreError.Throttled
        in 400..499 -> StoreError.Rejected("status $status: ${detail()}")
        else -> StoreError.Unavailable("status $status: ${detail()}", writes)
    }

    private fun conflict(): StoreError = try {
        StoreError.Conflict(recordJson.decodeFromString<ConflictBody>(body.decodeToString()).currentVersion)
    } catch (e: IllegalArgumentException) {
        StoreError.Unavailable("malformed conflict: ${e.message}", writes)
    }

    private fun detail(): String = body.decodeToString().take(MAX_DETAIL_CHARS)
}

@Serializable
private data class ConflictBody(
    val currentVersion: Long,
)

private val jsonHeaders = headersOf("content-type" to "application/json")
private const val MAX_DETAIL_CHARS = 200
