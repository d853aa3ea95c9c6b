/*
 * Client of the stand-ins' control API.
 */
package io.skylarkstile.bench.fleet

import com.github.michaelbull.result.getOrThrow
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import java.net.URLEncoder

/** Changes the settings and reads the counters of the stand-in at [address]. */
class StandinControl(
    private val client: HttpClient,
    val address: String,
) {
    /**
     * Merges the JSON object [fields] into the settings.
     *
     * @throws IllegalStateException when the stand-in rejects the change, for example because of an unknown field
     */
    suspend fun set(fields: String) {
        send("POST", "/control", fields)
    }

    suspend fun state(): JsonElement = send("GET", "/control/state")

    /** Returns the value at [path] in the state as text. */
    suspend fun value(vararg path: String): String = valueOrNull(*path) ?: error("no ${path.joinToString(".")} in the state of $address")

    suspend fun valueOrNull(vararg path: String): String? {
        val found = path.fold(state() as JsonElement?) { at, name -> at?.jsonObject?.get(name) }
        return if (found is JsonPrimitive) found.content else found?.toString()
    }

    /**
     * Returns how many received requests contain [text] in their head or body. Before much traffic, call this once in advance: the stand-in
     * then counts matches as requests arrive, so its bounded log may drop old requests.
     *
     * @throws IllegalStateException when requests were dropped from the log before the first call with [text]
     */
    suspend fun receivedWith(text: String): Int {
        val view = send("GET", "/control/received?contains=" + URLEncoder.encode(text, Charsets.UTF_8)).jsonObject
        check((view.getValue("complete") as JsonPrimitive).content == "true") { "the log of $address dropped requests before this search" }
        return (view.getValue("matches") as JsonPrimitive).content.toInt()
    }

    /** Returns the state of the link [name] of a fault proxy. */
    suspend fun link(name: String): JsonElement =
        (state() as JsonArray).first { (it.jsonObject.getValue("name") as JsonPrimitive).content == name }

    private suspend fun send(
        method: String,
        uri: String,
        body: String = "",
    ): JsonElement {
        val request = HttpRequest(method, uri, body = body.encodeToByteArray(), rawUri = uri)
        val answer = client.call(address, request, CONTROL_TIMEOUT_MS).getOrThrow { IllegalStateException("$address: ${it.detail}") }
        val text = answer.bytes().decodeToString()
        check(answer.status == 200) { "$method $uri to $address: ${answer.status} $text" }
        return recordJson.parseToJsonElement(text)
    }
}

private const val CONTROL_TIMEOUT_MS = 5_000L
