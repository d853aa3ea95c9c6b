/*
 * Parses the JSON bodies of requests to an engine.
 */
package io.skylarkstile.standin.engine

import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpRequest
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import java.util.UUID

/** Represents the fields of `POST /v1/completions` and `POST /v1/chat/completions` bodies that the stand-in uses. */
@Serializable
internal data class CompletionBody(
    val model: String,
    val prompt: String? = null,
    val messages: List<ChatMessage>? = null,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val stream: Boolean = false,
    val seed: Long = 0,
    val priority: Int = 0,
    @SerialName("resume_from") val resumeFrom: Int = 0,
)

@Serializable
internal data class ChatMessage(
    val role: String = "",
    val content: JsonElement,
) {
    fun text(): String = (content as? JsonPrimitive)?.content ?: content.toString()
}

/** Represents the body of load and unload orders. */
@Serializable
internal data class AdapterOrder(
    @SerialName("lora_name") val loraName: String,
    @SerialName("lora_path") val loraPath: String = "",
)

/** Represents a completion request. Generation starts at token [from]; the text has at most [maxTokens] tokens. */
internal class EngineRequest(
    val id: String,
    val handle: String,
    val chat: Boolean,
    val prompt: String,
    val stream: Boolean,
    val seed: Long,
    val priority: Int,
    val from: Int,
    val maxTokens: Int,
)

/** Parses a completion request; returns `null` if it is malformed. */
internal fun engineRequestOrNull(
    request: HttpRequest,
    settings: EngineSettings,
): EngineRequest? {
    val chat = request.path == "/v1/chat/completions"
    val body = bodyOrNull<CompletionBody>(request) ?: return null
    val prompt = if (chat) body.messages?.let { all -> chatPrompt(all.map { it.role to it.text() }) } else body.prompt
    val maxTokens = body.maxTokens ?: settings.defaultMaxTokens
    if (prompt == null || maxTokens < 1 || body.resumeFrom !in 0..maxTokens) return null
    val id = request.headers["X-Request-Id"] ?: UUID.randomUUID().toString()
    return EngineRequest(id, body.model, chat, prompt, body.stream, body.seed, body.priority, body.resumeFrom, maxTokens)
}

/** Parses the JSON body of [request]; returns `null` if it is malformed. */
internal inline fun <reified B> bodyOrNull(request: HttpRequest): B? = try {
    recordJson.decodeFromString<B>(request.body.decodeToString())
} catch (_: IllegalArgumentException) {
    null
}
