/*
 * Who calls: the workspace of the key that came with a request.
 */
package io.skylarkstile.entry.front

import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.transport.http.HttpRequest
import java.util.UUID

/** The caller of one request. An [Anonymous] caller may use open routes only. */
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

/** Identifies the caller, or `null` when a key came that is not accepted. */
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

/** Identifiers that follow one request from the caller to the target. */
internal data class RequestIds(
    val requestId: String,
    val traceparent: String,
)

/** Takes the identifiers from the request; absent or malformed ones are made new. */
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

/** The form of version 00 of W3C Trace Context, which forbids the version `ff` and ids that are all zero. */
private val TRACEPARENT = Regex("(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}")
