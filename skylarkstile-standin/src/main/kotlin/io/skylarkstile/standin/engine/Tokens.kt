/*
 * The text that an engine stand-in generates. It depends only on what the answer has to depend on, so a test can compute which
 * tokens the right adapter and version would have written.
 */
package io.skylarkstile.standin.engine

import java.security.MessageDigest

/** Names everything a generated text depends on; [model] is `adapter@version`, without the epoch of the handle. */
data class Generation(
    val model: String,
    val loraPath: String,
    val prompt: String,
    val seed: Long,
) {
    private val base: Long = hashOf("$model\u0000$loraPath\u0000$prompt\u0000$seed")

    /** Returns the token at [index], for example `t12-9fa3 `. */
    fun token(index: Int): String = "t$index-%04x ".format(mixed(base + index * GOLDEN_GAMMA).toInt() and 0xffff)

    /** Returns the tokens from [from] up to, not including, [until]. */
    fun text(
        from: Int,
        until: Int,
    ): String = (from until until).joinToString("") { token(it) }

    /** Returns a number in 0..1 that is fixed for this text. */
    internal fun share(): Double = (mixed(base xor GOLDEN_GAMMA) ushr 11).toDouble() / (1L shl 53)
}

/** Returns the part of [handle] (`adapter@version#epoch`) before the epoch. */
fun modelOf(handle: String): String = handle.substringBefore('#')

/** Returns the prompt text of chat [messages], pairs of role and content. */
fun chatPrompt(messages: List<Pair<String, String>>): String = messages.joinToString("") { (role, content) -> "$role: $content\n" }

private fun hashOf(text: String): Long = MessageDigest
    .getInstance("SHA-256")
    .digest(text.encodeToByteArray())
    .take(Long.SIZE_BYTES)
    .fold(0L) { hash, byte -> (hash shl 8) or (byte.toLong() and 0xff) }

/** The finalizer of SplitMix64: every bit of the result depends on every bit of [value]. */
private fun mixed(value: Long): Long {
    val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
    val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
    return second xor (second ushr 31)
}

/** The increment of SplitMix64. */
private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
