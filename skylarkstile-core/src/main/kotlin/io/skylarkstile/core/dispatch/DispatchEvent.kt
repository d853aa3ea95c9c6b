/*
 * The events of one model request that a target returns to the caller. They are the same for local and for forwarded requests.
 */
package io.skylarkstile.core.dispatch

import io.skylarkstile.schema.generated.DispatchEnd

/** Represents one event of a running request. The sequence is at most one [Head], then any number of [Chunk]s, then exactly one [End]. */
sealed interface DispatchEvent {
    /** The target has begun its answer. */
    data class Head(
        val status: Int,
        val contentType: String,
    ) : DispatchEvent

    /** A part of the body. In an event stream it consists of complete server-sent events, each ending with an empty line. */
    class Chunk(
        val data: ByteArray,
    ) : DispatchEvent

    /** The request has ended. Only the outcome `done` means that the whole body was passed on. */
    data class End(
        val end: DispatchEnd,
    ) : DispatchEvent
}
