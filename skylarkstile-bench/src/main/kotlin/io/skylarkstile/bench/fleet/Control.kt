/*
 * Control calls to the stand-ins.
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
class Control(
    private val client: HttpClient,
    val address: String,
) {
    /** Merges the JSON object [fields] into the settings; a field that the stand-in does not know is an [IllegalStateException]. */
    suspend fun set(fields: String) {
        send("POST", "/control", fields)
    }

    suspend fun state(): JsonElement = send("GET", "/control/state")

    /** Returns the value at [path] of the state as text. */
    suspend fun value(vararg path: String): String = valueOrNull(*path) ?: error("no ${path.joinToString(".")} in the state of $address")

    suspend fun valueOrNull(vararg path: String): String? {
        val found = path.fold(state() as JsonElement?) { at, name -> at?.jsonObject?.get(name) }
        return if (found is JsonPrimitive) found.content else found?.toString()
    }

    /**
     * Returns how many received requests contain [text] in their head or body. Callers with much traffic call this once before it:
     * from then on the stand-in counts the text as requests arrive, and its bounded log may drop them.
     */
    suspend fun receivedWith(text: String): Int {
        val view = send("GET", "/control/received?contains=" + URLEncoder.encode(text, Charsets.UTF_8)).jsonObject
        check((view.getValue("complete") as JsonPrimitive).content == "true") { "requests had left the log of $address before this search" }
        return (view.getValue("matches") as JsonPrimitive).content.toInt()
    }

    /** Returns the link [name] of a proxy. */
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
