/*
 * Reads an answer in server-sent events.
 */
package io.skylarkstile.tests.harness

import io.skylarkstile.transport.http.HttpAnswer
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull

/** Collects the events of one answer whose request was sent at [begin] (nanoseconds). */
internal class StreamReader(
    private val begin: Long,
) {
    private val text = StringBuilder()
    private var rest = ""
    private var done = false
    private var tokens: Int? = null
    private var problem: JsonElement? = null
    private var firstTokenMs: Double? = null

    /** Takes the next part of the body; the tokens of the stand-ins are ASCII, so a part never ends within a character. */
    fun add(part: ByteArray) {
        rest += part.decodeToString()
        while (true) {
            val end = rest.indexOf(EVENT_END)
            if (end < 0) return
            event(rest.substring(0, end))
            rest = rest.substring(end + EVENT_END.length)
        }
    }

    /** Returns what has arrived; [failure] tells why the connection ended early. */
    fun reply(
        answer: HttpAnswer,
        failure: String?,
    ): Reply = Reply(answer.status, text.toString(), done && failure == null, tokens, problem, answer.headers, failure, firstTokenMs)

    private fun event(event: String) {
        val fields = event.lines().associate { it.substringBefore(':') to it.substringAfter(':').trim() }
        val data = fields["data"].orEmpty()
        when {
            fields["event"] == "error" -> problem = jsonOrNull(data)
            data == "[DONE]" -> done = true
            else -> chunk(jsonOrNull(data))
        }
    }

    private fun chunk(json: JsonElement?) {
        val part = textOf(json)
        if (part.isNotEmpty() && firstTokenMs == null) firstTokenMs = (System.nanoTime() - begin) / NANOS_PER_MS
        text.append(part)
        tokens = usageOf(json) ?: tokens
    }
}

/** Returns the text of a chunk or of a whole answer, of completions or of chat completions. */
internal fun textOf(json: JsonElement?): String {
    val choice = ((json as? JsonObject)?.get("choices") as? JsonArray)?.firstOrNull() as? JsonObject ?: return ""
    val chat = (choice["delta"] ?: choice["message"]) as? JsonObject
    return ((choice["text"] ?: chat?.get("content")) as? JsonPrimitive)?.contentOrNull.orEmpty()
}

/** Returns the number of generated tokens that an answer or its last chunk states. */
internal fun usageOf(json: JsonElement?): Int? =
    (((json as? JsonObject)?.get("usage") as? JsonObject)?.get("completion_tokens") as? JsonPrimitive)?.intOrNull

private const val EVENT_END = "\n\n"
private const val NANOS_PER_MS = 1_000_000.0
