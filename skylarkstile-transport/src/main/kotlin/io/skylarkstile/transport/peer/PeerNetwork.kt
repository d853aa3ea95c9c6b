/*
 * Messaging between instances: calls, one-way messages and forwarded model requests.
 */
package io.skylarkstile.transport.peer

import com.github.michaelbull.result.Result
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.Dispatch
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.KSerializer

/** Describes a kind of message by its name on the wire and its serializer. */
data class MessageKind<T>(
    val name: String,
    val serializer: KSerializer<T>,
)

/** Sends messages to other instances by name. Queues are bounded and messages are not retried. */
interface PeerNetwork {
    /** Returns the instances to which a link is open. */
    fun connected(): Set<String>

    /** Sends [message] and waits up to [timeoutMs] milliseconds for the response. */
    suspend fun <Q, A> call(
        to: String,
        kind: MessageKind<Q>,
        message: Q,
        answer: MessageKind<A>,
        timeoutMs: Long,
    ): Result<A, PeerError>

    /** Queues a one-way message. */
    fun <T> send(
        to: String,
        kind: MessageKind<T>,
        message: T,
    ): Result<Unit, PeerError>

    /** Registers the handler that answers calls of [kind]. */
    fun <Q, A> answer(
        kind: MessageKind<Q>,
        answer: MessageKind<A>,
        handler: suspend (from: String, message: Q) -> A,
    )

    /** Registers the handler of one-way messages of [kind]. */
    fun <T> receive(
        kind: MessageKind<T>,
        handler: (from: String, message: T) -> Unit,
    )

    /**
     * Runs [request] on instance [to]. The flow always ends with [DispatchEvent.End]: `not-run` when the request was not sent,
     * `unknown` when the link failed later. Cancelling the collector cancels the request on the other side.
     */
    fun dispatch(
        to: String,
        request: Dispatch,
    ): Flow<DispatchEvent>

    /** Registers the handler of requests forwarded by other instances. */
    fun onDispatch(runner: (from: String, request: Dispatch) -> Flow<DispatchEvent>)
}

/** Describes why a message has no response. */
sealed interface PeerError {
    /** The message was not sent, for example because there is no link or its queue is full. */
    data class NotSent(
        val detail: String,
    ) : PeerError

    /** The message was sent, and no response arrived in time, the link failed, or the response is an error. */
    data class NoAnswer(
        val detail: String,
    ) : PeerError
}
