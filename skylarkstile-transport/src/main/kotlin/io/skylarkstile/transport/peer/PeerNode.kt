/*
 * The peer network of one process: one listening socket and one dialled link to each known peer. An instance sends its calls, one-way
 * messages and forwarded requests on the links it dialled; answers return on the same link.
 */
package io.skylarkstile.transport.peer

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.serialization.Serializable

/** Starts the name of a peer whose instance name is not known yet; used for seed addresses. */
const val SEED_PREFIX = "seed:"

/** Bounds of the peer links. */
data class PeerOptions(
    /** Interval of heartbeats in milliseconds; a link is closed when nothing arrived for three of them. */
    val heartbeatMs: Long = 500,
    val maxFrameBytes: Int = 1_048_576,
    val queueFrames: Int = 1_024,
    /** Bytes of one forwarded answer that may be under way to a collector that does not read. */
    val streamWindowBytes: Int = 262_144,
    val firstBackoffMs: Long = 50,
    val maxBackoffMs: Long = 1_000,
    /** Protocol versions that this release can use. */
    val versions: List<Int> = listOf(1),
    val dispatcher: CoroutineDispatcher = Dispatchers.Default,
    /** Monotonic clock in milliseconds. */
    val now: () -> Long = { System.nanoTime() / 1_000_000 },
) {
    /** Time without a frame after which a link counts as silent. */
    val silenceMs: Long get() = 3 * heartbeatMs
}

/** State of one link. */
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

/** A [PeerNetwork] together with what its owner controls. */
interface PeerNode :
    PeerNetwork,
    AutoCloseable {
    /** Address that is listened on, `ip:port`, with the true port when 0 was asked for. */
    val address: String

    /** Replaces the peers that links are dialled to: instance name (or [SEED_PREFIX] and any text) to `ip:port`. */
    fun setPeers(peers: Map<String, String>)

    /** Refuses links of [instance] from incarnations older than [incarnation] and closes those that are open. */
    fun requireIncarnation(
        instance: String,
        incarnation: Long,
    )

    /** Closes all links and goes on under a new [incarnation]. */
    fun renew(incarnation: Long)

    fun dump(): List<LinkDump>
}

/** Starts to listen on [listenAddress] (`ip:port`) as instance [self] and returns the network; fails with an exception when it cannot listen. */
suspend fun peerNetwork(
    self: String,
    incarnation: Long,
    cluster: String,
    listenAddress: String,
    options: PeerOptions = PeerOptions(),
): PeerNode = SocketPeerNode(Identity(self, cluster, incarnation, options.versions), options).also { it.listen(listenAddress) }
