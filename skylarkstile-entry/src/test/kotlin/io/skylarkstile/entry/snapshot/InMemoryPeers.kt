/*
 * Connects instances within one process, for tests.
 */
package io.skylarkstile.entry.snapshot

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.transport.peer.MessageKind
import io.skylarkstile.transport.peer.PeerError
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import java.util.concurrent.ConcurrentHashMap

internal class InMemoryPeers {
    private val answers = ConcurrentHashMap<Pair<String, String>, suspend (String, Any?) -> Any?>()
    private val receivers = ConcurrentHashMap<Pair<String, String>, (String, Any?) -> Unit>()
    private val names = ConcurrentHashMap.newKeySet<String>()

    fun network(self: String): PeerNetwork = Network(self).also { names += self }

    @Suppress("UNCHECKED_CAST")
    private inner class Network(
        private val self: String,
    ) : PeerNetwork {
        override fun connected(): Set<String> = names - self

        override suspend fun <Q, A> call(
            to: String,
            kind: MessageKind<Q>,
            message: Q,
            answer: MessageKind<A>,
            timeoutMs: Long,
        ): Result<A, PeerError> = answers[to to kind.name]?.let { Ok(it(self, message) as A) } ?: Err(PeerError.NotSent("no handler"))

        override fun <T> send(
            to: String,
            kind: MessageKind<T>,
            message: T,
        ): Result<Unit, PeerError> = Ok(receivers[to to kind.name]?.invoke(self, message) ?: Unit)

        override fun <Q, A> answer(
            kind: MessageKind<Q>,
            answer: MessageKind<A>,
            handler: suspend (from: String, message: Q) -> A,
        ) {
            answers[self to kind.name] = { from, message -> handler(from, message as Q) }
        }

        override fun <T> receive(
            kind: MessageKind<T>,
            handler: (from: String, message: T) -> Unit,
        ) {
            receivers[self to kind.name] = { from, message -> handler(from, message as T) }
        }

        override fun dispatch(
            to: String,
            request: Dispatch,
        ): Flow<DispatchEvent> = emptyFlow()

        override fun onDispatch(runner: (from: String, request: Dispatch) -> Flow<DispatchEvent>) = Unit
    }
}
