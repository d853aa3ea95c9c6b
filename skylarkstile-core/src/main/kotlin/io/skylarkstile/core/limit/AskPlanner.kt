/*
 * Decides when to request tokens from peers, which peers and how many tokens. An ask is one such request; their rate per peer is limited.
 */
package io.skylarkstile.core.limit

/** Maximum number of asks per second to one peer for one workspace. */
const val MAX_ASKS_PER_SECOND = 20

/**
 * Describes an ask to be sent. [toKeep] requests a permanent transfer of tokens, otherwise a loan; [urgent] is set when requests are
 * waiting for the tokens.
 */
data class PlannedAsk(
    val peer: String,
    val ask: Long,
    val amount: Amount,
    val toKeep: Boolean,
    val urgent: Boolean,
)

/**
 * Distributes the tokens needed over asks to several peers. Ask numbers start at the initial value of [nextAsk]; a lender ignores a number
 * that it has already seen within the last second.
 */
internal class AskPlanner(
    private var nextAsk: Long,
) {
    private class Peer {
        val asks = ArrayDeque<Long>()
        var unansweredAt = -UNRESPONSIVE_MS

        /** Fraction of its capacity that the peer held after its last answer; a peer that was never asked is assumed to be full. */
        private var fill = 1.0
        private var fillRecordedAt = 0L

        fun recordFill(
            now: Long,
            fraction: Double,
        ) {
            fill = fraction
            fillRecordedAt = now
        }

        fun estimatedFill(
            now: Long,
            refillPerMs: Double,
        ) = minOf(1.0, fill + (now - fillRecordedAt) * refillPerMs)
    }

    /** Represents an ask that has not been answered yet. */
    class PendingAsk(
        val peer: String,
        val at: Long,
        val amount: Amount,
        val toKeep: Boolean,
    )

    private val peers = HashMap<String, Peer>()
    private val pendingAsks = LinkedHashMap<Long, PendingAsk>()
    private var rotation = 0

    /** Returns the total of the unanswered asks that are recent enough for an answer to be expected. */
    fun expected(now: Long): Amount = pendingAsks.values
        .filter { now - it.at < ANSWER_TIMEOUT_MS }
        .fold(Amount.NONE) { sum, ask -> sum + ask.amount }

    /**
     * Plans asks for the amount [need] that waiting requests lack. Asks at most [MAX_PEERS] of the [candidates], subject to a short minimum
     * interval between asks to the same peer. [refillPerMs] is the fraction of its capacity that a peer refills per millisecond.
     */
    fun planUrgent(
        now: Long,
        need: Amount,
        candidates: Collection<String>,
        refillPerMs: Double,
        toKeep: Boolean,
    ): List<PlannedAsk> {
        val peersByFill = peersByFill(now, candidates, refillPerMs, urgent = true)
        return distribute(now, need, peersByFill.take(MAX_PEERS), toKeep, urgent = true)
    }

    /** Plans asks for an expected [need] that no request is waiting for yet, to the [maxPeers] peers with the highest estimated fill. */
    fun planAhead(
        now: Long,
        need: Amount,
        candidates: Collection<String>,
        refillPerMs: Double,
        maxPeers: Int,
    ): List<PlannedAsk> {
        val peersByFill = peersByFill(now, candidates, refillPerMs, urgent = false).filter { it.second >= MIN_FILL }
        return distribute(now, need, peersByFill.take(minOf(maxPeers, MAX_PEERS)), toKeep = true, urgent = false)
    }

    /** Returns the peers that may be asked now with their estimated fill, highest first. */
    private fun peersByFill(
        now: Long,
        candidates: Collection<String>,
        refillPerMs: Double,
        urgent: Boolean,
    ): List<Pair<String, Double>> {
        markUnresponsivePeers(now)
        val ready = candidates.filter { mayAsk(now, it, urgent) }.sorted()
        if (ready.isEmpty()) return emptyList()
        return rotated(ready).map { it to peers.getValue(it).estimatedFill(now, refillPerMs) }.sortedByDescending { it.second }
    }

    /** Asks each peer in proportion to its fill, so that all stocks shrink evenly and no peer becomes full while another one is empty. */
    private fun distribute(
        now: Long,
        need: Amount,
        peersByFill: List<Pair<String, Double>>,
        toKeep: Boolean,
        urgent: Boolean,
    ): List<PlannedAsk> {
        val totalWeight = peersByFill.sumOf { it.second + BASE_WEIGHT }
        return peersByFill.map { (peer, fill) -> ask(now, peer, need * ((fill + BASE_WEIGHT) / totalWeight), toKeep, urgent) }
    }

    /** Records the [answer] and returns its ask, or `null` when the ask number is unknown or too old. */
    fun answered(
        now: Long,
        ask: Long,
        answer: QuotaHandover,
    ): PendingAsk? {
        val asked = pendingAsks.remove(ask) ?: return null
        val peer = peers.getOrPut(asked.peer) { Peer() }
        peer.unansweredAt = -UNRESPONSIVE_MS
        peer.recordFill(now, answer.fill)
        return asked
    }

    /** Records that an ask failed; its peer is asked less often for [UNRESPONSIVE_MS]. */
    fun failed(
        now: Long,
        ask: Long,
    ) {
        pendingAsks.remove(ask)?.let { peers.getOrPut(it.peer) { Peer() }.unansweredAt = now }
    }

    private fun ask(
        now: Long,
        peer: String,
        amount: Amount,
        toKeep: Boolean,
        urgent: Boolean,
    ): PlannedAsk {
        val number = nextAsk++
        peers.getValue(peer).asks.addLast(now)
        pendingAsks[number] = PendingAsk(peer, now, amount, toKeep)
        return PlannedAsk(peer, number, amount, toKeep, urgent)
    }

    private fun mayAsk(
        now: Long,
        name: String,
        urgent: Boolean,
    ): Boolean {
        val peer = peers.getOrPut(name) { Peer() }
        while (peer.asks.isNotEmpty() && now - peer.asks.first() >= 1_000) peer.asks.removeFirst()
        val count = peer.asks.size
        if (count >= MAX_ASKS_PER_SECOND) return false
        val last = peer.asks.lastOrNull() ?: return true
        if (now - peer.unansweredAt < UNRESPONSIVE_MS) return now - last >= UNRESPONSIVE_GAP_MS
        if (!urgent) return now - last >= AHEAD_GAP_MS
        // The interval grows with the number of recent asks, so that under overload the asks are spread over the whole second.
        return now - last >= maxOf(URGENT_GAP_MS, GAP_PER_ASK_MS * count)
    }

    private fun rotated(names: List<String>): List<String> {
        rotation = (rotation + 1) % names.size
        return names.drop(rotation) + names.take(rotation)
    }

    private fun markUnresponsivePeers(now: Long) {
        pendingAsks.values.filter { now - it.at >= ANSWER_TIMEOUT_MS }.forEach {
            peers.getValue(it.peer).unansweredAt = maxOf(it.at + ANSWER_TIMEOUT_MS, 0)
        }
        pendingAsks.values.removeAll { now - it.at >= BORROWED_MS }
    }

    private companion object {
        /** Time in ms within which an answer normally arrives, including a scheduling delay at the peer. */
        const val ANSWER_TIMEOUT_MS = 40L
        const val URGENT_GAP_MS = 10L
        const val GAP_PER_ASK_MS = 5L
        const val AHEAD_GAP_MS = 100L

        /** Time in ms during which a peer that did not answer is asked only once per [UNRESPONSIVE_GAP_MS]. */
        const val UNRESPONSIVE_MS = 2_000L
        const val UNRESPONSIVE_GAP_MS = 500L
        const val MAX_PEERS = 8

        /** Fill below which a peer gets only urgent asks: it would hand over too few tokens to justify the message. */
        const val MIN_FILL = 0.15

        /** Added to each fill, so that peers with an estimated fill of 0 are also asked when requests are waiting. */
        const val BASE_WEIGHT = 0.05
    }
}
