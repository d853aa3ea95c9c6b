/*
 * Server-sent events of model answers: splits a byte stream into events and classifies them.
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

/** An event must fit into one peer frame of 1 MiB. */
private const val MAX_EVENT_BYTES = 524_288

/** Splits a stream into events. Each returned array is one complete event, including the empty line at its end. */
internal class SseSplitter {
    private val pending = ByteArrayOutputStream()
    private var isLineEmpty = true

    /** Returns whether an incomplete event is buffered. */
    val isInsideEvent: Boolean get() = pending.size() > 0

    /** Returns whether the incomplete event exceeds the limit of 512 KiB. */
    val isTooLong: Boolean get() = pending.size() > MAX_EVENT_BYTES

    fun add(data: ByteArray): List<ByteArray> {
        val events = ArrayList<ByteArray>()
        data.forEach { byte ->
            pending.write(byte.toInt())
            when {
                byte == CR -> Unit
                byte != LF -> isLineEmpty = false
                isLineEmpty -> events.add(takeEvent())
                else -> isLineEmpty = true
            }
        }
        return events
    }

    private fun takeEvent(): ByteArray = pending.toByteArray().also { pending.reset() }
}

/** Classifies an event by its effect on the stream. */
internal sealed interface SseEventKind {
    /** Carries one token; [indexOrNull] is its index as given by the engine, starting at 0, or null if the engine gives none. */
    data class Token(
        val indexOrNull: Int?,
    ) : SseEventKind

    /** Ends the stream: `[DONE]`. */
    data object Done : SseEventKind

    /** Reports an error of the engine. */
    data class Failed(
        val detail: String,
    ) : SseEventKind

    /** Carries the finish reason or the usage, after the last token; [tokensOrNull] is the reported number of generated tokens. */
    data class Closing(
        val tokensOrNull: Int?,
    ) : SseEventKind

    /** Carries no token: a role, a comment or an empty event. */
    data object Other : SseEventKind
}

/** A parsed event; [idOrNull] is the id of the answer that it belongs to. */
internal class SseEvent(
    val kind: SseEventKind,
    val idOrNull: String? = null,
)

/** Parses one complete [event]. A token event has a choice with a non-empty text or delta content. */
internal fun readEvent(event: ByteArray): SseEvent {
    val lines = event.decodeToString().lines()
    val data = lines.filter { it.startsWith("data:") }.joinToString("\n") { it.substring("data:".length).trimStart() }
    if (lines.any { it.startsWith("event:") && it.substring("event:".length).trim() == "error" }) return failedEvent(data)
    if (data == "[DONE]") return SseEvent(SseEventKind.Done)
    val json = parseObjectOrNull(data) ?: return SseEvent(SseEventKind.Other)
    return if (json["error"] is JsonObject) failedEvent(data) else SseEvent(kindOf(json), idOrNull(json))
}

private fun failedEvent(data: String): SseEvent = SseEvent(SseEventKind.Failed(data.take(200)))

private fun kindOf(json: JsonObject): SseEventKind {
    val choice = (json["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
    return when {
        choice != null && textOf(choice).isNotEmpty() -> SseEventKind.Token((json["token_index"] as? JsonPrimitive)?.intOrNull)
        json["usage"] is JsonObject || choice?.get("finish_reason").isText() -> SseEventKind.Closing(completionTokensOrNull(json))
        else -> SseEventKind.Other
    }
}

/** Returns the `id` of an answer or of one of its chunks. */
internal fun idOrNull(json: JsonObject): String? = (json["id"] as? JsonPrimitive)?.content

/** Returns the number of generated tokens that an answer reports in `usage.completion_tokens`. */
internal fun completionTokensOrNull(json: JsonObject): Int? =
    ((json["usage"] as? JsonObject)?.get("completion_tokens") as? JsonPrimitive)?.intOrNull

internal fun parseObjectOrNull(text: String): JsonObject? = runCatching { recordJson.parseToJsonElement(text) }.getOrNull() as? JsonObject

private fun textOf(choice: JsonObject): String =
    ((choice["text"] ?: (choice["delta"] as? JsonObject)?.get("content")) as? JsonPrimitive)?.takeIf { it.isString }?.content.orEmpty()

private fun JsonElement?.isText(): Boolean = this is JsonPrimitive && isString
