/*
 * Checks one value against its field. Values are parsed from text, so that messages can quote the text of the file.
 */
package io.skylarkstile.config.schema

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonPrimitive

private val NAME = Regex("[a-z0-9][a-z0-9._-]{0,62}")
private val IPV4 = Regex("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})")
private val IPV6 = Regex("\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]")
private val PORT = Regex("[0-9]{1,5}")
private val DECIMAL = Regex("-?\\d+(\\.\\d+)?")

/** Keys of addresses on which a process listens; port 0 is allowed there and lets the system choose a port. */
private val listeningKeys = setOf("callerAddress", "peerAddress", "adminAddress")

/** Maximum number of characters of a value that an error message quotes. */
private const val MAX_QUOTED = 80

/** Fields whose values must not be quoted in messages. */
private val secretKeys = setOf("salt", "hash")

/** Returns the JSON form of [text], or a description of the problem. */
fun Field.read(text: String): Result<JsonPrimitive, String> = when (type) {
    ValueType.STRING -> textProblemOrNull(text)?.let { Err(it) } ?: Ok(JsonPrimitive(text))
    ValueType.BOOLEAN ->
        text.toBooleanStrictOrNull()?.let { Ok(JsonPrimitive(it)) }
            ?: Err("expected true or false, found ${quote(text)}")
    ValueType.INTEGER -> text.toLongOrNull()?.let { checkBounds(it, it.toDouble()) } ?: Err("expected a whole number, found ${quote(text)}")
    ValueType.NUMBER -> decimalOrNull(text)?.let { checkBounds(it, it) } ?: Err("expected a number, found ${quote(text)}")
}

/** Returns whether [text] is an IP address and a port. Host names are rejected, since instances connect by IP address. */
fun isAddress(
    text: String,
    portZero: Boolean = false,
): Boolean {
    val port = text.substringAfterLast(':', "")
    val lowest = if (portZero) 0 else 1
    return PORT.matches(port) && port.toInt() in lowest..65_535 && isIp(text.substringBeforeLast(':'))
}

/** Returns whether [text] is a valid record name. */
fun isName(text: String): Boolean = NAME.matches(text)

private fun isIp(text: String): Boolean = IPV6.matches(text) ||
    IPV4
        .matchEntire(text)
        ?.groupValues
        ?.drop(1)
        ?.all { it.toInt() <= 255 } == true

private fun decimalOrNull(text: String): Double? = text.takeIf { DECIMAL.matches(it) }?.toDouble()

private fun Field.checkBounds(
    value: Number,
    size: Double,
): Result<JsonPrimitive, String> {
    val low = minimum
    val high = maximum
    return when {
        low != null && size < low -> Err("$value is below the minimum ${plain(low)}")
        high != null && size > high -> Err("$value is above the maximum ${plain(high)}")
        format == "int32" && value.toLong() !in Int.MIN_VALUE..Int.MAX_VALUE -> Err("$value does not fit 32 bits")
        else -> Ok(JsonPrimitive(value))
    }
}

private fun Field.textProblemOrNull(text: String): String? = when {
    text.isEmpty() && required -> "value is empty"
    choices.isNotEmpty() && text !in choices -> "expected one of ${choices.joinToString()}, found ${quote(text)}"
    pattern?.containsMatchIn(text) == false -> "${quote(text)} does not match ${pattern.pattern}"
    format == "address" && !isAddress(text, name in listeningKeys) -> "expected ip:port, found ${quote(text)}"
    format == "name" && !isName(text) -> "expected a name of a-z, 0-9, '.', '_' and '-' (at most 63), found ${quote(text)}"
    else -> null
}

private fun Field.quote(text: String): String = if (name in secretKeys) "value" else "'${text.take(MAX_QUOTED)}'"

internal fun plain(value: Double): String = if (value == Math.rint(value)) value.toLong().toString() else value.toString()
