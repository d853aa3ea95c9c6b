/*
 * The peer network of one process: one listening socket and one outgoing link to each known peer. An instance sends its calls, one-way
 * messages and forwarded requests on its outgoing links; responses return on the same link.
 */
package io.skylarkstile.transport.peer

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.serialization.Serializable

/** Prefix of the placeholder name of a peer whose instance name is not known yet; used for seed addresses. */
const val SEED_PREFIX = "seed:"

/** Limits and timing of the peer links. */
data class PeerOptions(
    /** Heartbeat interval in milliseconds; a link is closed when nothing has arrived for three intervals. */
    val heartbeatMs: Long = 500,
    val maxFrameBytes: Int = 1_048_576,
    val queueFrames: Int = 1_024,
    /** Flow control window of a forwarded response: bytes in flight to a collector that does not read. */
    val streamWindowBytes: Int = 262_144,
    val firstBackoffMs: Long = 50,
    val maxBackoffMs: Long = 1_000,
    /** Protocol versions that this release can use. */
    val versions: List<Int> = listOf(1),
    val dispatcher: CoroutineDispatcher = Dispatchers.Default,
    /** Monotonic clock in milliseconds. */
    val now: () -> Long = { System.nanoTime() / 1_000_000 },
) {
    /** Time without a received frame after which a link is closed, in milliseconds. */
    val silenceMs: Long get() = 3 * heartbeatMs
}

/** Describes the state of one link. */
@Serializable
data class LinkDump(
    val peer: String,
    val address: String,
    val dialled: Boolean,
    val connected: Boolean,
    val lastReceivedMsAgo: Long?,
    val running: Int,
    val lastEnd: String?,
)

/** Adds to [PeerNetwork] what the owning process controls: peers, incarnations and the lifecycle. */
interface PeerNode :
    PeerNetwork,
    AutoCloseable {
    /** Returns the bound address, `ip:port`, with the actual port when port 0 was requested. */
    val address: String

    /** Replaces the peers to connect to: instance name (or [SEED_PREFIX] and any text) to `ip:port`. */
    fun setPeers(peers: Map<String, String>)

    /** Rejects links of [instance] with an incarnation older than [incarnation] and closes those that are open. */
    fun requireIncarnation(
        instance: String,
        incarnation: Long,
    )

    /** Closes all links and continues with a new [incarnation]. */
    fun renew(incarnation: Long)

    fun dump(): List<LinkDump>
}

/** Listens on [listenAddress] (`ip:port`) as instance [self] and returns the network; throws when the address cannot be bound. */
suspend fun peerNetwork(
    self: String,
    incarnation: Long,
    cluster: String,
    listenAddress: String,
    options: PeerOptions = PeerOptions(),
): PeerNode = SocketPeerNode(PeerIdentity(self, cluster, incarnation, options.versions), options).also { it.listen(listenAddress) }
