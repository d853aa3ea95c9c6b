/*
 * Stand-ins for the membership, the peer links, the snapshots and the quota of an instance that runs alone.
 * They are replaced when the real parts are merged.
 */
package io.skylarkstile.entry.main

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.config.record.RecordTable
import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.limit.Admission
import io.skylarkstile.core.limit.AdmissionLimiter
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.transport.peer.MessageKind
import io.skylarkstile.transport.peer.PeerError
import io.skylarkstile.transport.peer.PeerNetwork
import io.skylarkstile.transport.platform.ObjectStore
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import java.util.concurrent.CopyOnWriteArrayList

internal class SoloCluster(
    private val member: Member,
) : ClusterView {
    override val self get() = member.instance

    override fun members() = listOf(member)

    override fun rosterRevision() = 1L

    override fun isActive() = true

    override fun leaseRemaining(now: Long) = Long.MAX_VALUE

    override fun ownership(
        resource: Resource,
        now: Long,
    ): Ownership = Ownership.Held(1)

    override fun foreignPins(resource: Resource) = emptyMap<String, Int>()
}

internal class NoPeers : PeerNetwork {
    override fun connected() = emptySet<String>()

    override suspend fun <Q, A> call(
        to: String,
        kind: MessageKind<Q>,
        message: Q,
        answer: MessageKind<A>,
        timeoutMs: Long,
    ): Result<A, PeerError> = Err(PeerError.NotSent("there are no peers"))

    override fun <T> send(
        to: String,
        kind: MessageKind<T>,
        message: T,
    ): Result<Unit, PeerError> = Err(PeerError.NotSent("there are no peers"))

    override fun <Q, A> answer(
        kind: MessageKind<Q>,
        answer: MessageKind<A>,
        handler: suspend (from: String, message: Q) -> A,
    ) = Unit

    override fun <T> receive(
        kind: MessageKind<T>,
        handler: (from: String, message: T) -> Unit,
    ) = Unit

    override fun dispatch(
        to: String,
        request: Dispatch,
    ): Flow<DispatchEvent> = flowOf(DispatchEvent.End(DispatchEnd(DispatchEnd.Outcome.NotRun, reason = "not-sent")))

    override fun onDispatch(runner: (from: String, request: Dispatch) -> Flow<DispatchEvent>) = Unit
}

internal class PollingSnapshots(
    private val store: ObjectStore,
) : SnapshotSource {
    private val listeners = CopyOnWriteArrayList<(Snapshot) -> Unit>()

    @Volatile
    private var snapshot = Snapshot()

    override fun current() = snapshot

    override fun onChange(listener: (Snapshot) -> Unit) {
        listeners += listener
    }

    suspend fun run() {
        while (true) {
            val list = store.list(RecordKind.entries.map { it.label }).get()
            if (list != null && list.revision > snapshot.revision) {
                snapshot = RecordTable.empty.replacedBy(list.records).snapshot(list.revision, emptySet())
                listeners.forEach { it(snapshot) }
            }
            delay(POLL_MS)
        }
    }

    private companion object {
        const val POLL_MS = 200L
    }
}

internal class OpenLimiter : AdmissionLimiter {
    override suspend fun admit(
        workspace: String,
        tokens: Int,
    ): Admission = object : Admission.Admitted {
        override fun settle(generatedTokens: Int) = Unit

        override fun cancel() = Unit
    }
}
