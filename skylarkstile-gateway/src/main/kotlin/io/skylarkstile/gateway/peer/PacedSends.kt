/*
 * Spreads large sends over time. A burst beyond what the link takes loses its last datagrams, always those of the same receivers, which
 * then hear nothing for as long as the bursts go on.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.main.Scheduler
import java.net.InetSocketAddress

/** Part of the own link that paced sends may fill; the rest is for callers and targets. */
private const val LINK_SHARE = 0.5
private const val BYTES_PER_MS_PER_MBPS = 125

/** Sent at once, in bytes; on fast links as much as they take in [BURST_MS]. */
private const val BURST_BYTES = 8 * 1024
private const val BURST_MS = 4

/**
 * Hands datagrams to [write] no faster than a link of [linkMbps] Mbit/s takes them; 0 stands for an unknown link, which isn't paced. Not
 * thread-safe.
 */
internal class PacedSends(
    linkMbps: Int,
    private val scheduler: Scheduler,
    private val write: (ByteArray, InetSocketAddress) -> Unit,
) {
    private data class Slot(
        val kind: String,
        val receiver: InetSocketAddress,
    )

    private val bytesPerMs = linkMbps * BYTES_PER_MS_PER_MBPS * LINK_SHARE
    private val burstBytes = maxOf(BURST_BYTES, (bytesPerMs * BURST_MS).toInt())

    /** What waits, the longest wait first. */
    private val waiting = LinkedHashMap<Slot, ByteArray>()
    private var isScheduled = false

    /**
     * Sends [bytes] to each of [receivers] as the link allows. What still waits of the same [kind] is replaced and keeps its turn, so when
     * the link is slower than the sends, all receivers hear something, only less often.
     */
    fun send(
        kind: String,
        bytes: ByteArray,
        receivers: Collection<InetSocketAddress>,
    ) {
        if (bytesPerMs == 0.0) return receivers.forEach { write(bytes, it) }
        receivers.forEach { waiting[Slot(kind, it)] = bytes }
        if (!isScheduled) sendBurst()
    }

    private fun sendBurst() {
        isScheduled = false
        var sent = 0
        val due = waiting.entries.iterator()
        while (due.hasNext() && sent < burstBytes) {
            val (slot, bytes) = due.next()
            due.remove()
            sent += bytes.size
            write(bytes, slot.receiver)
        }
        if (sent == 0) return
        isScheduled = true
        scheduler.after((sent / bytesPerMs).toLong().coerceAtLeast(1), ::sendBurst)
    }
}
