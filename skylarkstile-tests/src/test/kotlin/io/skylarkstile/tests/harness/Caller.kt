/*
 * What a caller sends and how it reads the answers.
 */
package io.skylarkstile.tests.harness

import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.skylarkstile.bench.fleet.Records
import io.skylarkstile.schema.recordJson
import io.skylarkstile.standin.engine.Generation
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** One request for text. */
internal data class Ask(
    val model: String,
    val prompt: String = "read this plate",
    val maxTokens: Int = 8,
    val stream: Boolean = true,
    val seed: Long = 0,
    val chat: Boolean = false,
) {
    /** Returns the text that the right adapter [version] writes for this request. */
    fun expected(version: String): String {
        val adapter = model.substringBefore('@')
        val prompt = if (chat) "user: $prompt\n" else prompt
        return Generation("$adapter@$version", Records.pathOf(adapter, version), prompt, seed).text(0, maxTokens)
    }
}

/** A whole answer, or what is known of one that failed. */
internal data class Reply(
    /** 0 when no head arrived. */
    val status: Int,
    val text: String = "",
    /** The whole answer arrived: `[DONE]` of a stream, or all of the body. */
    val whole: Boolean = false,
    val completionTokens: Int? = null,
    /** Problem document of a refusal or of an `error` event within a stream. */
    val problem: JsonElement? = null,
    val headers: HttpHeaders = HttpHeaders(),
    /** Why there is no whole answer, when the connection was the reason. */
    val failure: String? = null,
    val firstTokenMs: Double? = null,
    val body: String = "",
) {
    /** `not-run` or `unknown` of the problem document. */
    val outcome: String? get() = (problem?.jsonObject?.get("outcome") as? JsonPrimitive)?.contentOrNull

    /** Fails unless this is the whole answer to [ask] by [version] of its adapter. */
    fun shouldAnswer(
        ask: Ask,
        version: String = "1",
    ) = withClue("answer to $ask: status $status, whole $whole, problem $problem, failure $failure") {
        status shouldBe 200
        whole shouldBe true
        text shouldBe ask.expected(version)
    }
}

/** A caller with [key] that talks to one address. */
internal class Caller(
    private val client: HttpClient,
    private val address: String,
    private val key: String?,
    private val idleTimeoutMs: Long = 10_000,
) {
    /** Sends [ask] and reads the answer to its end. */
    suspend fun send(
        ask: Ask,
        vararg headers: Pair<String, String>,
    ): Reply {
        val path = if (ask.chat) "/v1/chat/completions" else "/v1/completions"
        val begin = System.nanoTime()
        val request = request("POST", path, bodyOf(ask), headers.toList())
        val answer = client.call(address, request, idleTimeoutMs).getOrElse { return Reply(0, failure = it.detail) }
        return if (ask.stream && answer.status == 200) streamed(answer, begin) else wholeReply(answer)
    }

    /** Calls a plain service or any other path. */
    suspend fun call(
        method: String,
        uri: String,
        body: String = "",
        vararg headers: Pair<String, String>,
    ): Reply {
        val answer =
            client.call(address, request(method, uri, body, headers.toList()), idleTimeoutMs).getOrElse {
                return Reply(0, failure = it.detail)
            }
        return wholeReply(answer)
    }

    private fun request(
        method: String,
        uri: String,
        body: String,
        headers: List<Pair<String, String>>,
    ): HttpRequest {
        val authorization = key?.let { listOf("Authorization" to "Bearer $it") }.orEmpty()
        val type = if (body.isEmpty()) emptyList() else listOf("Content-Type" to "application/json")
        val path = uri.substringBefore('?')
        return HttpRequest(
            method,
            path,
            headers = HttpHeaders(authorization + type + headers),
            body = body.encodeToByteArray(),
            rawUri = uri,
        )
    }

    private suspend fun wholeReply(answer: HttpAnswer): Reply {
        val bytes =
            try {
                answer.bytes()
            } catch (e: HttpBodyException) {
                return Reply(answer.status, headers = answer.headers, failure = e.message)
            }
        val text = bytes.decodeToString()
        val json = jsonOrNull(text)
        val problem = json.takeIf { answer.status >= FIRST_ERROR_STATUS }
        return Reply(answer.status, textOf(json), true, usageOf(json), problem, answer.headers, body = text)
    }

    private suspend fun streamed(
        answer: HttpAnswer,
        begin: Long,
    ): Reply {
        val reader = StreamReader(begin)
        val failure =
            try {
                answer.body.collect { reader.add(it) }
                null
            } catch (e: HttpBodyException) {
                e.message
            }
        return reader.reply(answer, failure)
    }
}

private fun bodyOf(ask: Ask): String = buildJsonObject {
    put("model", ask.model)
    if (ask.chat) {
        putJsonArray("messages") {
            addJsonObject {
                put("role", "user")
                put("content", ask.prompt)
            }
        }
    } else {
        put("prompt", ask.prompt)
    }
    put("max_tokens", ask.maxTokens)
    put("stream", ask.stream)
    put("seed", ask.seed)
}.toString()

internal fun jsonOrNull(text: String): JsonElement? = try {
    recordJson.parseToJsonElement(text)
} catch (_: IllegalArgumentException) {
    null
}

private const val FIRST_ERROR_STATUS = 400
