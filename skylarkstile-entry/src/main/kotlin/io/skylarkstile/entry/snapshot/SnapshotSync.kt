/*
 * Keeps an instance's snapshot up to date from peers and, when the instance is a watcher, from the object API. A push only announces a
 * revision and the receiver pulls what it lacks, so a lost or late push can neither leave a gap nor restore an old record.
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

/** Interval of polling the instance list, in milliseconds. Leaving targets are announced after a poll. */
private const val POLL_INTERVAL_MS = 1_000L

/** Maximum interval between comparisons with the peers' revisions in milliseconds; equals the default heartbeat interval. */
private const val COMPARE_INTERVAL_MS = 500L

/** Timeout of waiting for records from peers before the first list, and the interval of checking for them, in milliseconds. */
private const val PEER_RECORDS_TIMEOUT_MS = 500L
private const val PEER_CHECK_MS = 50L

/** Pause after a change in milliseconds; limits a bulk write of thousands of records to 20 watch calls and snapshots per second. */
private const val BATCH_PAUSE_MS = 50L

/** Timeout of one page of a pull in milliseconds. */
private const val PAGE_TIMEOUT_MS = 1_000L

/** First and maximum pause after a failed call to the object API in milliseconds; the pause doubles with each failure. */
private const val MIN_RETRY_PAUSE_MS = 100L
private const val MAX_RETRY_PAUSE_MS = 2_000L

/** Maximum number of peers that a change is announced to; the others learn of it from these peers or from heartbeats. */
private const val MAX_ANNOUNCED_PEERS = 16

/** Leaving targets are announced on each of the first polls after a change, and then on every fifth poll. */
private const val IMMEDIATE_ANNOUNCEMENTS = 3
private const val POLLS_PER_ANNOUNCEMENT = 5

/** Provides the name of this instance and the members of the cluster. [members] is called often and must be cheap. */
class SnapshotMembership(
    val self: String,
    /** Returns the members of the newest known roster. */
    val members: () -> List<Member>,
)

/** Synchronizes the snapshot of one instance. [watchMs] is the maximum duration of a watch call in milliseconds. */
class SnapshotSync internal constructor(
    private val membership: SnapshotMembership,
    private val store: ObjectStore,
    private val peers: PeerNetwork,
    private val watchMs: Long,
    private val publisher: SnapshotPublisher,
) : SnapshotSource by publisher {
    private val pullTrigger = Channel<Unit>(Channel.CONFLATED)
    private val counters = SyncCounters()

    /** Revision of [current], which heartbeats report. A reader of this value sees at least its records in a later [current]. */
    val revision: Long get() = current().revision

    /** Platform revision up to which the records of [current] are unchanged; may be higher than [revision]. */
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

    /** Handles a [revision] reported by [peer]. A revision newer than the known one triggers a pull at once. */
    fun onPeerRevision(
        peer: String,
        revision: Long,
    ) {
        if (revision <= publisher.state.knownRevision) return
        counters.announcedRevisions[peer] = revision
        pullTrigger.trySend(Unit)
    }

    /** Returns the state for the dump. It contains the number of records and the names of unreadable ones, but no key or hash. */
    fun dump(): JsonElement = dumpOf(publisher.state, current(), isWatcher(), isPoller(), counters)

    private fun isWatcher() = membership.self in watchers(membership.members())

    private fun isPoller() = membership.self in pollers(membership.members())

    /**
     * Waits for records from peers before the first list. Records from a peer have a revision that the other peers know; a list has the
     * platform's newest revision, which would make every peer compare all its records.
     */
    private suspend fun awaitPeerRecords() {
        withTimeoutOrNull(PEER_RECORDS_TIMEOUT_MS) { while (publisher.state.knownRevision == 0L) delay(PEER_CHECK_MS) }
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
                // Lists an empty platform again at this interval until it has a record.
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
                log.event(Level.INFO, "snapshot-platform-back") { "calls to the object API succeed again" }
            } else {
                log.event(
                    Level.WARN,
                    "snapshot-platform-lost",
                ) { "calls to the object API fail: ${answer.fold({ "" }, { it.toString() })}" }
            }
        }
        return succeeded
    }

    private suspend fun pullLoop() = runLoop("pull") {
        withTimeoutOrNull(if (publisher.state.knownRevision == 0L) PEER_CHECK_MS else COMPARE_INTERVAL_MS) { pullTrigger.receive() }
        pullCandidates().firstOrNull { pullFrom(it) }
    }

    /** Returns the peers with a newer revision, the newest first. Without a snapshot, all other connected peers follow. */
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

    /** Handles an announcement. `more` marks a revision that can be pulled; otherwise a poller reports the leaving targets. */
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

    /** Repeats [step]. An unexpected exception is logged and does not end the loop, because the snapshot would become stale unnoticed. */
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
                ) { "the snapshot $loop loop failed; it continues" }
                delay(MAX_RETRY_PAUSE_MS)
            }
        }
    }
}

/** Creates the synchronization of an instance's snapshot; [SnapshotSync.start] starts it. */
fun snapshotSync(
    membership: SnapshotMembership,
    store: ObjectStore,
    peers: PeerNetwork,
    watchMs: Long,
): SnapshotSync = SnapshotSync(membership, store, peers, watchMs, SnapshotPublisher())

/** Returns the names of the targets that the platform lists as leaving, matched by name or address. */
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
