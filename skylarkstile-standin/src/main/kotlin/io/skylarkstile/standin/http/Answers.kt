/*
 * Answers that the stand-ins share, the injected ones among them.
 */
package io.skylarkstile.standin.http

import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.headersOf
import io.skylarkstile.transport.http.wholeAnswer
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.flow
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How an injected fault withholds an answer. */
@Serializable
enum class Withheld {
    /** The connection stays open and nothing comes. */
    @SerialName("silent")
    Silent,

    /** The connection is closed. */
    @SerialName("close")
    Close,
}

/** State of a service that can be out of order. */
@Serializable
enum class Outage {
    @SerialName("none")
    None,

    /** Each call gets a 503. */
    @SerialName("unavailable")
    Unavailable,

    /** Calls get no answer; the connection stays open. */
    @SerialName("silent")
    Silent,
}

/** Body of an error answer in the form that engines use. */
@Serializable
internal data class ErrorBody(
    val error: ErrorDetail,
)

@Serializable
internal data class ErrorDetail(
    val code: String,
    val message: String,
)

internal inline fun <reified B> jsonAnswer(
    status: Int,
    body: B,
    headers: HttpHeaders = HttpHeaders(),
): HttpAnswer = wholeAnswer(status, "application/json", controlJson.encodeToString(body).encodeToByteArray(), headers)

internal fun errorAnswer(
    status: Int,
    code: String,
    message: String,
    headers: HttpHeaders = HttpHeaders(),
): HttpAnswer = jsonAnswer(status, ErrorBody(ErrorDetail(code, message)), headers)

/** Withholds an answer in the way [how] says. Closing is done by failing the body directly after the head. */
internal suspend fun withhold(how: Withheld): HttpAnswer = when (how) {
    Withheld.Silent -> awaitCancellation()
    Withheld.Close -> HttpAnswer(200, headersOf("content-type" to "application/json"), flow { throw HttpBodyException("injected") }, 1)
}

/** Returns the answer to a call during [outage]; suspends for good when it is silent. */
internal suspend fun outageAnswer(outage: Outage): HttpAnswer =
    if (outage == Outage.Silent) withhold(Withheld.Silent) else errorAnswer(503, "unavailable", "injected outage")

/** Present time of the monotonic clock in milliseconds. */
internal fun monotonicMs(): Long = System.nanoTime() / 1_000_000
