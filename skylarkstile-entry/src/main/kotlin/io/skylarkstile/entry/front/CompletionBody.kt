/*
 * Parses the fields of a completion request that the entry instance needs, and adds defaults to the body for the target.
 */
package io.skylarkstile.entry.front

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull

/**
 * Holds a validated completion request. [body] always contains [maxTokens] and a seed, so that the response stays within the reserved
 * tokens and can be resumed.
 */
internal class CompletionBody(
    val model: String,
    val maxTokens: Int,
    val stream: Boolean,
    val body: ByteArray,
)

private const val MAX_TOKENS_LIMIT = 1_000_000

/** Parses [bytes]. The error is a message for the caller. [seed] is used when the request contains none. */
internal fun parseCompletion(
    bytes: ByteArray,
    defaultMaxTokens: Int,
    seed: Int,
): Result<CompletionBody, String> {
    shapeProblemOrNull(bytes)?.let { return Err(it) }
    val json =
        try {
            Json.parseToJsonElement(bytes.decodeToString(throwOnInvalidSequence = true)) as? JsonObject
        } catch (e: SerializationException) {
            return Err("the body is not valid JSON: ${e.message?.lineSequence()?.first()}")
        } catch (_: CharacterCodingException) {
            return Err("the body is not valid UTF-8")
        } ?: return Err("the body is not a JSON object")
    val model = (json["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content ?: return Err("'model' is missing or not a string")
    if (json["prompt"] == null && json["messages"] == null) return Err("'prompt' or 'messages' is missing")
    if (intOf(json["n"]) ?: 1 != 1 || intOf(json["best_of"]) ?: 1 != 1) return Err("'n' and 'best_of' other than 1 are not supported")
    val requestedMaxTokens = json["max_completion_tokens"] ?: json["max_tokens"]
    val maxTokens = if (requestedMaxTokens == null) defaultMaxTokens else intOf(requestedMaxTokens) ?: 0
    if (maxTokens !in 1..MAX_TOKENS_LIMIT) return Err("'max_tokens' is not a whole number from 1 to $MAX_TOKENS_LIMIT")
    val stream = json["stream"]?.let { (it as? JsonPrimitive)?.booleanOrNull ?: return Err("'stream' is not true or false") } ?: false
    val completedBody =
        json - "max_completion_tokens" + mapOf("max_tokens" to JsonPrimitive(maxTokens), "seed" to (json["seed"] ?: JsonPrimitive(seed)))
    return Ok(CompletionBody(model, maxTokens, stream, JsonObject(completedBody).toString().toByteArray()))
}

private fun intOf(value: JsonElement?): Int? = (value as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull

/** Maximum number of values in a body; a parsed value takes about 100 bytes of memory. */
private const val MAX_VALUES = 50_000

/** Maximum nesting of arrays and objects; the parser and the writer are recursive. */
private const val MAX_DEPTH = 64

/** Checks the number of values and the nesting without parsing; a parsed body of brackets or commas takes up to 40 times its size. */
private fun shapeProblemOrNull(bytes: ByteArray): String? {
    var values = 0
    var depth = 0
    var isInString = false
    var isEscaped = false
    for (b in bytes) {
        val c = b.toInt().toChar()
        when {
            isEscaped -> isEscaped = false
            isInString && c == '\\' -> isEscaped = true
            c == '"' -> isInString = !isInString
            isInString -> Unit
            c == '[' || c == '{' -> if (++depth > MAX_DEPTH) return "the body is nested more than $MAX_DEPTH levels deep"
            c == ']' || c == '}' -> depth--
            c == ',' -> if (++values > MAX_VALUES) return "the body has more than $MAX_VALUES values"
        }
    }
    return null
}
