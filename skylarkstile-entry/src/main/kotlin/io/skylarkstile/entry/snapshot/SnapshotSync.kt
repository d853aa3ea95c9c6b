/*
 * Keeps an instance's snapshot up to date: from the object API when this instance is a watcher, and from peers always.
 * A push is an announcement of a revision; the receiver pulls what it lacks, so a lost or late push can neither leave a gap nor
 * bring back an old record.
 */
package io.skylarkstile.entry.snapshot

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.SnapshotPull
import io.skylarkstile.schema.generated.SnapshotPush
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.PeerNetwork
import io.skylarkstile.transport.platform.ListedInstance
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.RecordList
import io.skylarkstile.transport.platform.StoreError
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonElement
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Interval between polls of the instance list and between announcements of leaving targets, in milliseconds. */
private const val POLL_INTERVAL_MS = 1_000L

/** Longest time between two comparisons with the peers' revisions in milliseconds; heartbeats come as often. */
private const val COMPARE_INTERVAL_MS = 500L

/** Longest wait for records of peers before the first list, and the interval of looking for them, in milliseconds. */
private const val PEER_RECORDS_TIMEOUT_MS = 500L
private const val PEER_CHECK_INTERVAL_MS = 50L

/** Pause after a change in milliseconds: a bulk write of thousands of records then costs 20 watch calls and snapshots a second at most. */
private const val BATCH_PAUSE_MS = 50L

/** Time limit of one page of a pull in milliseconds. */
private const val PAGE_TIMEOUT_MS = 1_000L

/** Pause after a failed call to the object API in milliseconds: the first, and the longest after doubling. */
private const val MIN_RETRY_PAUSE_MS = 100L
private const val MAX_RETRY_PAUSE_MS = 2_000L

/** Peers that a change is announced to; in a larger fleet the others learn of it from these or from heartbeats. */
private const val MAX_ANNOUNCED_PEERS = 16

/** Announcements of leaving targets: on each of the first polls after a change, then on every fifth. */
private const val IMMEDIATE_ANNOUNCEMENTS = 3
private const val POLLS_PER_ANNOUNCEMENT = 5

/** Says where this instance stands; all are called often and must be cheap. */
class SnapshotMembership(
    val self: String,
    /** Returns the members of the newest known roster. */
    val members: () -> List<Member>,
)

/** Keeps the snapshot of one instance. [watchMs] is the longest wait of a watch in milliseconds. */
class SnapshotSync internal constructor(
    private val membership: SnapshotMembership,
    private val store: ObjectStore,
    private val peers: PeerNetwork,
    private val watchMs: Long,
    private val publisher: SnapshotPublisher,
) : SnapshotSource by publisher {
    private val pullTrigger = Channel<Unit>(Channel.CONFLATED)
    private val counters = SyncCounters()

    /** Revision that heartbeats report; that of [current], so whoever reads it first and [current] later sees at least its records. */
    val revision: Long get() = current().revision

    /** Platform revision up to which the records of [current] have not changed; may be higher than [revision]. */
    val knownRevision: Long get() = publisher.knownRevision()

    /** Registers the message handlers and starts the loops in [scope]. */
    fun start(scope: CoroutineScope) {
        peers.answer(MessageKinds.snapshotPull, MessageKinds.snapshotPush) { _, pull ->
            publisher.state.page(pull.after, pull.offset, current().leavingTargets)
        }
        peers.receive(MessageKinds.snapshotPush, ::onPush)
        scope.launch { watchLoop() }
        scope.launch { pullLoop() }
        scope.launch { pollLoop() }
    }

    /** Tells that [peer] has reported [revision]; when that is news, a pull starts at once. */
    fun onPeerRevision(
        peer: String,
        revision: Long,
    ) {
        if (revision <= publisher.state.knownRevision) return
        counters.announcedRevisions[peer] = revision
        pullTrigger.trySend(Unit)
    }

    /** Returns the state for the dump. Records appear as counts, and unreadable ones by name, so no key or hash is shown. */
    fun dump(): JsonElement = dumpOf(publisher.state, current(), isWatcher(), isPoller(), counters)

    private fun isWatcher() = membership.self in watchers(membership.members())

    private fun isPoller() = membership.self in pollers(membership.members())

    /**
     * Waits for peers before the first list: the records of a peer carry a revision that the others know, while a list carries the
     * platform's newest and would make every peer compare all records with it.
     */
    private suspend fun awaitPeerRecords() {
        withTimeoutOrNull(PEER_RECORDS_TIMEOUT_MS) { while (publisher.state.knownRevision == 0L) delay(PEER_CHECK_INTERVAL_MS) }
    }

    private suspend fun watchLoop() {
        awaitPeerRecords()
        var pauseMs = MIN_RETRY_PAUSE_MS
        runLoop("watch") {
            val first = publisher.state.knownRevision == 0L
            if (!first && !isWatcher()) {
                delay(COMPARE_INTERVAL_MS)
            } else if (if (first) list() else watch()) {
                pauseMs = MIN_RETRY_PAUSE_MS
                // An empty platform is listed again at this interval until the first record is there.
                if (publisher.state.knownRevision == 0L) delay(COMPARE_INTERVAL_MS)
            } else {
                delay(pauseMs + Random.nextLong(pauseMs))
                pauseMs = (pauseMs * 2).coerceAtMost(MAX_RETRY_PAUSE_MS)
            }
        }
    }

    private suspend fun list(): Boolean {
        val answer = store.list(RecordKind.labels)
        answer.get()?.let { list -> update { it.withList(list.records, list.revision) } }
        return recordPlatformResult(answer)
    }

    private suspend fun watch(): Boolean {
        val after = publisher.state.knownRevision
        val answer = store.watch(RecordKind.labels, after, watchMs)
        val changed = answer.get()?.let { list -> update { it.withChanges(list.records, after, list.revision) } } ?: false
        if (changed) delay(BATCH_PAUSE_MS)
        return answer.fold({ recordPlatformResult(answer) }, { if (it is StoreError.HistoryGone) list() else recordPlatformResult(answer) })
    }

    private fun recordPlatformResult(answer: Result<RecordList, StoreError>): Boolean {
        val succeeded = answer.fold({ true }, { false })
        if (counters.platformWorks.getAndSet(succeeded) != succeeded) {
            if (succeeded) {
                log.event(Level.INFO, "snapshot-platform-back") { "records come from the platform again" }
            } else {
                log.event(Level.WARN, "snapshot-platform-lost") { "records come from peers: ${answer.fold({ "" }, { it.toString() })}" }
            }
        }
        return succeeded
    }

    private suspend fun pullLoop() = runLoop("pull") {
        withTimeoutOrNull(
            if (publisher.state.knownRevision ==
                0L
            ) {
                PEER_CHECK_INTERVAL_MS
            } else {
                COMPARE_INTERVAL_MS
            },
        ) { pullTrigger.receive() }
        pullCandidates().firstOrNull { pullFrom(it) }
    }

    /** Peers that are ahead, the furthest first. Without any snapshot every connected peer is asked. */
    private fun pullCandidates(): List<String> {
        val knownRevision = publisher.state.knownRevision
        val connected = peers.connected()
        val newerRevisions = counters.announcedRevisions.filter { it.key in connected && it.value > knownRevision }
        val ahead = newerRevisions.entries.sortedByDescending { it.value }.map { it.key }
        return if (knownRevision == 0L) ahead + (connected - ahead.toSet()).shuffled() else ahead
    }

    private suspend fun pullFrom(peer: String): Boolean {
        val pulled = pull(publisher.state.knownRevision) { askPage(peer, it) } ?: return false
        counters.pulls.incrementAndGet()
        counters.announcedRevisions[peer] = pulled.revision
        val changed = update(pulled::applyTo)
        if (!publisher.hasLeavingReports()) publisher.updateLeavingTargets(peer, pulled.leavingTargets, pollers(membership.members()))
        return changed
    }

    private suspend fun askPage(
        peer: String,
        request: SnapshotPull,
    ): SnapshotPush? = peers.call(peer, MessageKinds.snapshotPull, request, MessageKinds.snapshotPush, PAGE_TIMEOUT_MS).get()

    private fun update(next: (SnapshotState) -> SnapshotState): Boolean =
        publisher.update(next).also { if (it) announce(peers.connected().shuffled().take(MAX_ANNOUNCED_PEERS), current()) }

    private fun announce(
        to: Collection<String>,
        snapshot: Snapshot,
        leaving: Set<String> = emptySet(),
        fromPoller: Boolean = false,
    ) {
        val push = SnapshotPush(snapshot.revision, complete = false, more = !fromPoller, emptyList(), leaving.sorted())
        to.forEach { peers.send(it, MessageKinds.snapshotPush, push) }
    }

    /** Takes an announcement: with `more` of a revision that can be pulled, without it of the leaving targets that a poller has seen. */
    private fun onPush(
        from: String,
        push: SnapshotPush,
    ) {
        counters.pushes.incrementAndGet()
        if (!push.more) publisher.updateLeavingTargets(from, push.leavingTargets.toSet(), pollers(membership.members()))
        onPeerRevision(from, push.revision)
    }

    private suspend fun pollLoop() {
        var unchangedPolls = 0
        var lastLeaving: Set<String>? = null
        runLoop("poll") {
            delay(POLL_INTERVAL_MS)
            val listedInstances = if (isPoller()) store.instances().get() else null
            if (listedInstances != null) {
                val leaving = leavingTargets(listedInstances, current())
                unchangedPolls = if (leaving == lastLeaving) unchangedPolls + 1 else 0
                lastLeaving = leaving
                publisher.updateLeavingTargets(membership.self, leaving, pollers(membership.members()))
                val due = unchangedPolls < IMMEDIATE_ANNOUNCEMENTS || unchangedPolls % POLLS_PER_ANNOUNCEMENT == 0
                if (due) announce(peers.connected(), current(), leaving, fromPoller = true)
            }
        }
    }

    /** Repeats [step]. An unexpected exception is logged and does not end the loop, since the snapshot would then stay old unnoticed. */
    private suspend fun runLoop(
        loop: String,
        step: suspend () -> Unit,
    ) {
        while (true) {
            try {
                step()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                log.event(
                    Level.ERROR,
                    "snapshot-loop-failed",
                    "loop" to loop,
                    cause = e,
                ) { "the $loop loop of the snapshot failed; it goes on" }
                delay(MAX_RETRY_PAUSE_MS)
            }
        }
    }
}

/** Creates the keeper of an instance's snapshot; [SnapshotSync.start] begins its work. */
fun snapshotSync(
    membership: SnapshotMembership,
    store: ObjectStore,
    peers: PeerNetwork,
    watchMs: Long,
): SnapshotSync = SnapshotSync(membership, store, peers, watchMs, SnapshotPublisher())

/** Returns the targets that the platform lists as leaving, matched by name or address. */
internal fun leavingTargets(
    listedInstances: List<ListedInstance>,
    snapshot: Snapshot,
): Set<String> {
    val leaving = listedInstances.filter { it.state == "leaving" }
    val names = leaving.map { it.instance }.toSet()
    val addresses = leaving.map { it.address }.toSet()
    return snapshot.targets
        .filter { (name, target) -> name in names || target.address in addresses }
        .keys
        .toSet()
}
