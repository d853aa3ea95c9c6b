/*
 * Identifies the caller of a request by its API key, and the request by its request id and trace context.
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.transport.http.HttpRequest
import java.util.UUID

/** Identifies the caller of a request. An [Anonymous] caller may use open routes only. */
internal sealed interface Caller {
    val workspaceOrNull: String?

    data class Authenticated(
        val keyId: String,
        val workspace: String,
    ) : Caller {
        override val workspaceOrNull get() = workspace
    }

    data object Anonymous : Caller {
        override val workspaceOrNull: String? get() = null
    }
}

/** Returns the caller of [request], [Caller.Anonymous] without a key, or `null` when the key is not accepted. */
internal fun KeyVerifier.callerOrNull(
    snapshot: Snapshot,
    request: HttpRequest,
): Caller? {
    val header = request.headers["authorization"] ?: return Caller.Anonymous
    if (!header.startsWith(BEARER, ignoreCase = true)) return null
    val id = verifyOrNull(snapshot, header.substring(BEARER.length).trim()) ?: return null
    val record = snapshot.keys[id]?.takeIf { !it.withdrawn && it.workspace in snapshot.workspaces } ?: return null
    return Caller.Authenticated(id, record.workspace)
}

/** Holds the identifiers that are passed with a request from the caller to the target. */
internal data class RequestIds(
    val requestId: String,
    val traceparent: String,
)

/** Reads the identifiers from the headers of [request] and generates those that are missing or malformed. */
internal fun requestIds(request: HttpRequest): RequestIds {
    val id = request.headers["x-request-id"]?.takeIf { REQUEST_ID.matches(it) } ?: UUID.randomUUID().toString()
    val trace = request.headers["traceparent"]?.takeIf { TRACEPARENT.matches(it) } ?: newTraceparent()
    return RequestIds(id, trace)
}

private fun newTraceparent(): String {
    val trace = UUID.randomUUID().toString().replace("-", "")
    val span =
        UUID
            .randomUUID()
            .toString()
            .replace("-", "")
            .take(SPAN_DIGITS)
    return "00-$trace-$span-01"
}

private const val BEARER = "Bearer "
private const val SPAN_DIGITS = 16
private val REQUEST_ID = Regex("[A-Za-z0-9._:-]{1,128}")

/** Format of W3C Trace Context version 00, which forbids the version `ff` and ids of zeros only. */
private val TRACEPARENT = Regex("(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}")
