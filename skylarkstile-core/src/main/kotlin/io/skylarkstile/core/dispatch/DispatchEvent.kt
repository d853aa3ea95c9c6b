/*
 * Events of one model request on its way from a target back to the caller. Local and forwarded requests have the same form.
 */
package io.skylarkstile.core.dispatch

import io.skylarkstile.schema.generated.DispatchEnd

/** One event of a running request: at most one [Head], then [Chunk]s, then exactly one [End]. */
sealed interface DispatchEvent {
    /** The target has begun its answer. */
    data class Head(
        val status: Int,
        val contentType: String,
    ) : DispatchEvent

    /** A part of the body: for an event stream always whole server-sent events, each ending with an empty line. */
    class Chunk(
        val data: ByteArray,
    ) : DispatchEvent

    /** The request is over; only `done` means that the whole body was passed on. */
    data class End(
        val end: DispatchEnd,
    ) : DispatchEvent
}
