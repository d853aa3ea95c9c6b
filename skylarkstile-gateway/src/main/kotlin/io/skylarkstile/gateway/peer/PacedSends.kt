/*
 * Spreads large sends over time. A burst that exceeds the link loses its last datagrams, which are always those to the same receivers, so
 * these would receive nothing as long as the bursts continue.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.main.Scheduler
import java.net.InetSocketAddress

/** Share of the instance's link that paced sends may use; the rest is left to callers and targets. */
private const val MAX_LINK_SHARE = 0.5
private const val BYTES_PER_MS_PER_MBPS = 125

/** Minimum size of a burst that is sent without delay, in bytes; fast links send as much as they carry in [BURST_MS]. */
private const val MIN_BURST_BYTES = 8 * 1024
private const val BURST_MS = 4

/**
 * Passes datagrams to [write] at a rate that a link of [linkMbps] Mbit/s can carry; 0 means an unknown link, which isn't paced. Not
 * thread-safe.
 */
internal class PacedSends(
    linkMbps: Int,
    private val scheduler: Scheduler,
    private val write: (ByteArray, InetSocketAddress) -> Unit,
) {
    private data class QueueKey(
        val kind: String,
        val receiver: InetSocketAddress,
    )

    private val bytesPerMs = linkMbps * BYTES_PER_MS_PER_MBPS * MAX_LINK_SHARE
    private val burstBytes = maxOf(MIN_BURST_BYTES, (bytesPerMs * BURST_MS).toInt())

    /** Queued datagrams, the longest-waiting first. */
    private val queue = LinkedHashMap<QueueKey, ByteArray>()
    private var isScheduled = false

    /**
     * Sends [bytes] to each of [receivers] as the link allows. A queued datagram of the same [kind] and receiver is replaced and keeps its
     * place, so when the link is too slow for all sends, every receiver still gets a datagram, but less often.
     */
    fun send(
        kind: String,
        bytes: ByteArray,
        receivers: Collection<InetSocketAddress>,
    ) {
        if (bytesPerMs == 0.0) return receivers.forEach { write(bytes, it) }
        receivers.forEach { queue[QueueKey(kind, it)] = bytes }
        if (!isScheduled) sendBurst()
    }

    private fun sendBurst() {
        isScheduled = false
        var sent = 0
        val remaining = queue.entries.iterator()
        while (remaining.hasNext() && sent < burstBytes) {
            val (key, bytes) = remaining.next()
            remaining.remove()
            sent += bytes.size
            write(bytes, key.receiver)
        }
        if (sent == 0) return
        isScheduled = true
        scheduler.after((sent / bytesPerMs).toLong().coerceAtLeast(1), ::sendBurst)
    }
}
