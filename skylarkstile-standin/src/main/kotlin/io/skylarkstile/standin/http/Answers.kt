/*
 * Responses common to all stand-ins, including injected faults.
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

/** Selects how an injected fault withholds a response. */
@Serializable
enum class WithholdMode {
    /** The connection stays open without a response. */
    @SerialName("silent")
    Silent,

    /** The connection is closed. */
    @SerialName("close")
    Close,
}

/** Selects the kind of outage of a stand-in. */
@Serializable
enum class Outage {
    @SerialName("none")
    None,

    /** Each call is answered with status 503. */
    @SerialName("unavailable")
    Unavailable,

    /** Calls get no response; their connections stay open. */
    @SerialName("silent")
    Silent,
}

/** Represents the body of an error response in the format of the engine protocol. */
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

/** Withholds a response as [mode] specifies. To close the connection, the body fails right after the response head. */
internal suspend fun withhold(mode: WithholdMode): HttpAnswer = when (mode) {
    WithholdMode.Silent -> awaitCancellation()
    WithholdMode.Close -> HttpAnswer(200, headersOf("content-type" to "application/json"), flow { throw HttpBodyException("injected") }, 1)
}

/** Returns the response to a call during [outage]; suspends until cancelled for [Outage.Silent]. */
internal suspend fun outageAnswer(outage: Outage): HttpAnswer =
    if (outage == Outage.Silent) withhold(WithholdMode.Silent) else errorAnswer(503, "unavailable", "injected outage")

/** Returns the monotonic clock in milliseconds. */
internal fun monotonicMs(): Long = System.nanoTime() / 1_000_000
