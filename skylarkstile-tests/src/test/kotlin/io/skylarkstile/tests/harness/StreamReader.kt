/*
 * Parses a response that is a stream of server-sent events.
 */
package io.skylarkstile.tests.harness

import io.skylarkstile.transport.http.HttpAnswer
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** Collects the events of one response whose request was sent at [startNanos], in nanoseconds of [System.nanoTime]. */
internal class StreamReader(
    private val startNanos: Long,
) {
    private val text = StringBuilder()
    private var buffer = ""
    private var isDone = false
    private var tokens: Int? = null
    private var problem: JsonElement? = null
    private var firstTokenMs: Double? = null

    /** Adds the next part of the body. The tokens of the stand-ins are ASCII, so a part never ends within a multi-byte character. */
    fun add(part: ByteArray) {
        buffer += part.decodeToString()
        while (true) {
            val end = buffer.indexOf(EVENT_END)
            if (end < 0) return
            handleEvent(buffer.substring(0, end))
            buffer = buffer.substring(end + EVENT_END.length)
        }
    }

    /** Returns what has arrived so far; [failure] is the reason why the connection ended early, or `null`. */
    fun reply(
        answer: HttpAnswer,
        failure: String?,
    ): Reply = Reply(answer.status, text.toString(), isDone && failure == null, tokens, problem, answer.headers, failure, firstTokenMs)

    private fun handleEvent(handleEvent: String) {
        val fields = handleEvent.lines().associate { it.substringBefore(':') to it.substringAfter(':').trim() }
        val data = fields["data"].orEmpty()
        when {
            fields["event"] == "error" -> problem = jsonOrNull(data)
            data == "[DONE]" -> isDone = true
            else -> handleChunk(jsonOrNull(data))
        }
    }

    private fun handleChunk(json: JsonElement?) {
        val part = textOf(json)
        if (part.isNotEmpty() && firstTokenMs == null) firstTokenMs = (System.nanoTime() - startNanos) / NANOS_PER_MS
        text.append(part)
        tokens = usageOf(json) ?: tokens
    }
}

/** Returns the generated text of a stream chunk or of a complete response, for completions and chat completions. */
internal fun textOf(json: JsonElement?): String {
    val choice = ((json as? JsonObject)?.get("choices") as? JsonArray)?.firstOrNull() as? JsonObject ?: return ""
    val chat = (choice["delta"] ?: choice["message"]) as? JsonObject
    return ((choice["text"] ?: chat?.get("content")) as? JsonPrimitive)?.contentOrNull.orEmpty()
}

/** Returns `usage.completion_tokens` of a response or of its last chunk. */
internal fun usageOf(json: JsonElement?): Int? =
    (((json as? JsonObject)?.get("usage") as? JsonObject)?.get("completion_tokens") as? JsonPrimitive)?.intOrNull

private const val EVENT_END = "\n\n"
private const val NANOS_PER_MS = 1_000_000.0
