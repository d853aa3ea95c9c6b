/*
 * Helpers for calls to stand-ins, shared by the specs.
 */
package io.skylarkstile.standin

import com.github.michaelbull.result.getOrThrow
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.headersOf
import io.skylarkstile.transport.http.httpClient
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject

internal val client = httpClient(connectTimeoutMs = 500)

/** Sends a request and returns its response, whose body has not been read yet. */
internal suspend fun call(
    address: String,
    method: String,
    uri: String,
    body: String = "",
    headers: HttpHeaders = headersOf(),
): HttpAnswer = client
    .call(address, HttpRequest(method, uri, headers = headers, body = body.encodeToByteArray(), rawUri = uri), 3_000)
    .getOrThrow { IllegalStateException(it.detail) }

/** Sends a request and returns the status and the JSON body of its response. */
internal suspend fun json(
    address: String,
    method: String,
    uri: String,
    body: String = "",
    headers: HttpHeaders = headersOf(),
): Pair<Int, JsonElement> {
    val answer = call(address, method, uri, body, headers)
    return answer.status to recordJson.parseToJsonElement(answer.bytes().decodeToString())
}

internal suspend fun control(
    address: String,
    body: String,
) = check(json(address, "POST", "/control", body).first == 200) { "control call rejected" }

/** Returns the field of the control state at [path], as text. */
internal suspend fun state(
    address: String,
    vararg path: String,
): String {
    val all = json(address, "GET", "/control/state").second
    return when (val found = path.fold(all) { at, name -> at.jsonObject.getValue(name) }) {
        is JsonPrimitive -> found.content
        else -> found.toString()
    }
}

/** Returns the `code` of an error response. */
internal fun code(answer: Pair<Int, JsonElement>): String =
    ((answer.second as JsonObject).getValue("error").jsonObject.getValue("code") as JsonPrimitive).content
