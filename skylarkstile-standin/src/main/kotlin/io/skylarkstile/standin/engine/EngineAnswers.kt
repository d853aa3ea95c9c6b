/*
 * Builds engine responses in the format of the OpenAI completions and chat completions APIs.
 */
package io.skylarkstile.standin.engine

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Returns the completion id that each chunk of the response to [requestId] contains. */
internal fun answerId(
    requestId: String,
    chat: Boolean,
): String = (if (chat) "chatcmpl-" else "cmpl-") + requestId

/** Builds the response to one request; [until] is the number of tokens of the complete text. */
internal class EngineAnswer(
    private val request: EngineRequest,
    private val until: Int,
) {
    /** Returns a chunk with [text] for the request [id] as a server-sent event. */
    fun chunk(
        text: String,
        id: String = request.id,
    ): ByteArray = event(body(id) { choice(text, null) })

    /** Returns the last chunk, which contains the usage, followed by the `[DONE]` event. */
    fun end(): ByteArray = event(body(request.id, usage = true) { choice("", finishReason()) }) + DONE

    /** Returns the body of a non-streaming response with [text] for the request [id]. */
    fun whole(
        text: String,
        id: String = request.id,
    ): JsonObject = body(id, usage = true, whole = true) { wholeChoice(text) }

    private fun finishReason(): String = if (until < request.maxTokens) "stop" else "length"

    private fun body(
        id: String,
        usage: Boolean = false,
        whole: Boolean = false,
        choice: JsonObjectBuilder.() -> Unit,
    ): JsonObject = buildJsonObject {
        put("id", answerId(id, request.chat))
        put("object", if (request.chat) (if (whole) "chat.completion" else "chat.completion.chunk") else "text_completion")
        put("created", System.currentTimeMillis() / 1_000)
        put("model", request.handle)
        putJsonArray("choices") { addJsonObject { choice() } }
        if (usage) usage()
    }

    private fun JsonObjectBuilder.choice(
        text: String,
        finishReason: String?,
    ) {
        put("index", 0)
        if (request.chat) putJsonObject("delta") { put("content", text) } else put("text", text)
        put("finish_reason", finishReason)
    }

    private fun JsonObjectBuilder.wholeChoice(text: String) {
        put("index", 0)
        if (request.chat) {
            putJsonObject("message") {
                put("role", "assistant")
                put("content", text)
            }
        } else {
            put("text", text)
        }
        put("finish_reason", finishReason())
    }

    /** Includes the tokens skipped by a resumption, so that a resumed response has the same usage as an uninterrupted one. */
    private fun JsonObjectBuilder.usage() {
        val prompt = promptTokens(request.prompt)
        putJsonObject("usage") {
            put("prompt_tokens", prompt)
            put("completion_tokens", until)
            put("total_tokens", prompt + until)
        }
    }

    private fun event(body: JsonObject): ByteArray = "data: $body\n\n".encodeToByteArray()
}

private val DONE = "data: [DONE]\n\n".encodeToByteArray()
