/*
 * Represents errors for callers as RFC 9457 problem documents with a machine-readable outcome.
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.limit.Admission
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.wholeAnswer
import kotlinx.serialization.Serializable

/** States whether the call was executed. [Done] is used only when the call was answered but the response is not stored. */
internal enum class Outcome(
    val text: String,
) {
    NotRun("not-run"),
    Unknown("unknown"),
    Done("done"),
}

/** Describes one error. [code] is stable and meant for programs, [detail] is meant for people. */
internal data class Problem(
    val status: Int,
    val code: String,
    val detail: String,
    val outcome: Outcome,
    val retryAfterMs: Long? = null,
)

@Serializable
internal data class ProblemDocument(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: String,
    val requestId: String,
)

internal fun Problem.toJson(requestId: String): String = recordJson.encodeToString(
    ProblemDocument.serializer(),
    ProblemDocument("urn:skylarkstile:problem:$code", code.replace('-', ' '), status, detail, outcome.text, requestId),
)

internal fun Problem.toHttpAnswer(requestId: String): HttpAnswer {
    val retryAfter = retryAfterMs?.let { HttpHeaders(listOf("retry-after" to ((it + MS_PER_SECOND - 1) / MS_PER_SECOND).toString())) }
    return wholeAnswer(status, "application/problem+json", toJson(requestId).toByteArray(), retryAfter ?: HttpHeaders())
}

/** Encodes the problem as the last server-sent event of a stream, which then ends without `[DONE]`. */
internal fun Problem.toErrorEvent(requestId: String): ByteArray = "event: error\ndata: ${toJson(requestId)}\n\n".toByteArray()

internal fun badRequest(detail: String): Problem = Problem(400, "bad-request", detail, Outcome.NotRun)

internal fun notFound(detail: String): Problem = Problem(404, "not-found", detail, Outcome.NotRun)

/** Converts a refused admission: status 503 when the instance has no lease, else 429 because the rate limit is exceeded. */
internal fun Admission.Refused.toProblem(): Problem {
    val status = if (reason == "no-lease") 503 else 429
    return Problem(status, reason, "the request was not admitted: $reason", Outcome.NotRun, retryAfterMs)
}

internal fun unauthorized(): Problem = Problem(401, "key-not-accepted", "the key is missing, unknown or withdrawn", Outcome.NotRun)

private const val MS_PER_SECOND = 1_000L
