/*
 * Counts the generated tokens of a response while it is forwarded, so that unused reserved tokens can be returned.
 */
package io.skylarkstile.entry.front

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.intOrNull

internal class TokenCounter {
    private var events = 0
    private var reported: Int? = null

    /** Number of tokens so far: the count that the target reported, else the number of events. */
    val tokens: Int get() = reported ?: events

    /** Counts the server-sent events in [chunk], which must contain complete events only. */
    fun countEvents(chunk: ByteArray) {
        chunk.decodeToString().lineSequence().filter { it.startsWith("data:") }.forEach { line ->
            val data = line.removePrefix("data:").trim()
            if (data == "[DONE]") return@forEach
            val usage = if ("\"usage\"" in data) usageOrNull(data) else null
            if (usage != null) reported = usage
            if (usage == null || "\"choices\":[]" !in data) events++
        }
    }

    /** Reads the token usage from a complete JSON response. */
    fun countAnswer(body: ByteArray) {
        reported = usageOrNull(body.decodeToString()) ?: reported
    }

    private fun usageOrNull(text: String): Int? = try {
        val usage = (Json.parseToJsonElement(text) as? JsonObject)?.get("usage") as? JsonObject
        (usage?.get("completion_tokens") as? JsonPrimitive)?.intOrNull
    } catch (_: IllegalArgumentException) {
        null
    }
}
