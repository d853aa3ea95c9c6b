/*
 * Generates deterministic text for the engine stand-in. The text depends only on adapter version, path, prompt and seed, so a test can
 * compute the tokens that the correct adapter version must return.
 */
package io.skylarkstile.standin.engine

import java.security.MessageDigest

/** Holds the inputs of a generated text; [model] is `adapter@version`, without the epoch of the handle. */
data class Generation(
    val model: String,
    val loraPath: String,
    val prompt: String,
    val seed: Long,
) {
    private val base: Long = hashOf("$model\u0000$loraPath\u0000$prompt\u0000$seed")

    /** Returns the token at [index], for example `t12-9fa3 `. */
    fun token(index: Int): String = "t$index-%04x ".format(mix64(base + index * GOLDEN_GAMMA).toInt() and 0xffff)

    /** Returns the tokens from [from] (inclusive) to [until] (exclusive). */
    fun text(
        from: Int,
        until: Int,
    ): String = (from until until).joinToString("") { token(it) }

    /** Returns a number from 0 to 1 that is derived from the inputs, for the length of the text. */
    internal fun share(): Double = (mix64(base xor GOLDEN_GAMMA) ushr 11).toDouble() / (1L shl 53)
}

/** Returns the `adapter@version` part of a [handle] of the form `adapter@version#epoch`. */
fun modelOf(handle: String): String = handle.substringBefore('#')

/** Returns the prompt text for chat [messages], given as pairs of role and content. */
fun chatPrompt(messages: List<Pair<String, String>>): String = messages.joinToString("") { (role, content) -> "$role: $content\n" }

private fun hashOf(text: String): Long = MessageDigest
    .getInstance("SHA-256")
    .digest(text.encodeToByteArray())
    .take(Long.SIZE_BYTES)
    .fold(0L) { hash, byte -> (hash shl 8) or (byte.toLong() and 0xff) }

/** Applies the SplitMix64 finalizer, so that every bit of the result depends on every bit of [value]. */
private fun mix64(value: Long): Long {
    val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
    val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
    return second xor (second ushr 31)
}

/** State increment of SplitMix64. */
private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
