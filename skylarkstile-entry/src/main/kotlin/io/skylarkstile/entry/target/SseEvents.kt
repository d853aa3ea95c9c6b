/*
 * Server-sent events of model answers: cutting a byte stream into whole events and telling token events from others.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.schema.recordJson
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull
import java.io.ByteArrayOutputStream

private const val LF = '\n'.code.toByte()
private const val CR = '\r'.code.toByte()

/** A whole event must fit into one peer frame of 1 MiB. */
private const val MAX_EVENT_BYTES = 524_288

/** Cuts a stream into whole events. Each returned array is one event with its closing empty line. */
internal class SseSplitter {
    private val pending = ByteArrayOutputStream()
    private var lineEmpty = true

    /** Returns whether part of an event is held back. */
    val isInsideEvent: Boolean get() = pending.size() > 0

    /** Returns whether the held back part has outgrown the bound of 512 KiB. */
    val isOverlong: Boolean get() = pending.size() > MAX_EVENT_BYTES

    fun add(data: ByteArray): List<ByteArray> {
        val events = ArrayList<ByteArray>()
        data.forEach { byte ->
            pending.write(byte.toInt())
            when {
                byte == CR -> Unit
                byte != LF -> lineEmpty = false
                lineEmpty -> events.add(take())
                else -> lineEmpty = true
            }
        }
        return events
    }

    private fun take(): ByteArray = pending.toByteArray().also { pending.reset() }
}

/** What one event means for the stream. */
internal sealed interface SseMeaning {
    /** Carries one token; [indexOrNull] is the engine's number of it, counted from 0, when it is given. */
    data class Token(
        val indexOrNull: Int?,
    ) : SseMeaning

    /** Ends the stream: `[DONE]`. */
    data object Done : SseMeaning

    /** Reports an error of the engine. */
    data class Failed(
        val detail: String,
    ) : SseMeaning

    /** Carries the finish reason or the usage, after the last token; [tokensOrNull] is the engine's count of generated tokens. */
    data class Closing(
        val tokensOrNull: Int?,
    ) : SseMeaning

    /** Carries no token: a role, a comment or an empty event. */
    data object Other : SseMeaning
}

/** One event as far as it matters here; [idOrNull] is the id of the answer that it names. */
internal class SseEvent(
    val meaning: SseMeaning,
    val idOrNull: String? = null,
)

/** Reads one whole [event]. A token event has a choice with a non-empty text or delta content. */
internal fun readEvent(event: ByteArray): SseEvent {
    val lines = event.decodeToString().lines()
    val data = lines.filter { it.startsWith("data:") }.joinToString("\n") { it.substring("data:".length).trimStart() }
    if (lines.any { it.startsWith("event:") && it.substring("event:".length).trim() == "error" }) return failedEvent(data)
    if (data == "[DONE]") return SseEvent(SseMeaning.Done)
    val json = parseObjectOrNull(data) ?: return SseEvent(SseMeaning.Other)
    return if (json["error"] is JsonObject) failedEvent(data) else SseEvent(meaningOf(json), idOrNull(json))
}

private fun failedEvent(data: String): SseEvent = SseEvent(SseMeaning.Failed(data.take(200)))

private fun meaningOf(json: JsonObject): SseMeaning {
    val choice = (json["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
    return when {
        choice != null && textOf(choice).isNotEmpty() -> SseMeaning.Token((json["token_index"] as? JsonPrimitive)?.intOrNull)
        json["usage"] is JsonObject || choice?.get("finish_reason").isText() -> SseMeaning.Closing(completionTokensOrNull(json))
        else -> SseMeaning.Other
    }
}

/** Returns the `id` of an answer or of one of its chunks. */
internal fun idOrNull(json: JsonObject): String? = (json["id"] as? JsonPrimitive)?.content

/** Returns the generated tokens that an answer reports in `usage.completion_tokens`. */
internal fun completionTokensOrNull(json: JsonObject): Int? =
    ((json["usage"] as? JsonObject)?.get("completion_tokens") as? JsonPrimitive)?.intOrNull

internal fun parseObjectOrNull(text: String): JsonObject? = runCatching { recordJson.parseToJsonElement(text) }.getOrNull() as? JsonObject

private fun textOf(choice: JsonObject): String =
    ((choice["text"] ?: (choice["delta"] as? JsonObject)?.get("content")) as? JsonPrimitive)?.takeIf { it.isString }?.content.orEmpty()

private fun JsonElement?.isText(): Boolean = this is JsonPrimitive && isString
