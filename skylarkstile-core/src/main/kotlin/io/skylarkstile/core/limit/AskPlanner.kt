/*
 * Decides which peers are asked for tokens, when and for how much, and keeps the rate of asks bounded.
 */
package io.skylarkstile.core.limit

/** Most asks to one peer for one workspace within a second. */
const val MAX_ASKS_PER_SECOND = 20

/** One ask to be sent. [toKeep] asks for tokens for good, otherwise for a loan; [urgent] tells that requests wait for them. */
data class PlannedAsk(
    val peer: String,
    val ask: Long,
    val amount: Amount,
    val toKeep: Boolean,
    val urgent: Boolean,
)

/** Spreads needs over peers. Ask numbers start at [firstAsk]; a lender ignores a number that it has seen in the last second. */
internal class AskPlanner(
    private var firstAsk: Long,
) {
    private class Peer {
        val asks = ArrayDeque<Long>()
        var silentAt = -SILENT_MS

        /** Part of its capacity that the peer held after its last answer; a peer that was never asked is taken for full. */
        private var fill = 1.0
        private var filledAt = 0L

        fun holds(
            now: Long,
            part: Double,
        ) {
            fill = part
            filledAt = now
        }

        fun fillAt(
            now: Long,
            refillPerMs: Double,
        ) = minOf(1.0, fill + (now - filledAt) * refillPerMs)
    }

    /** An ask without an answer. */
    class Open(
        val peer: String,
        val at: Long,
        val amount: Amount,
        val toKeep: Boolean,
    )

    private val peers = HashMap<String, Peer>()
    private val open = LinkedHashMap<Long, Open>()
    private var turn = 0

    /** Returns the amount asked for so recently that an answer can still be expected. */
    fun expected(now: Long): Amount = open.values.filter { now - it.at < ANSWER_MS }.fold(Amount.NONE) { sum, ask -> sum + ask.amount }

    /**
     * Plans asks for a [need] of waiting requests to all [candidates] that may be asked after a short pause. [refillPerMs] is the part of
     * its capacity that a peer refills in a millisecond.
     */
    fun planUrgent(
        now: Long,
        need: Amount,
        candidates: Collection<String>,
        refillPerMs: Double,
        toKeep: Boolean,
    ): List<PlannedAsk> {
        val fills = fills(now, candidates, refillPerMs, urgent = true)
        return spread(now, need, fills.take(MAX_PEERS), toKeep, urgent = true)
    }

    /** Plans asks for a [need] that no request waits for, to the [most] peers that are estimated to hold most. */
    fun planAhead(
        now: Long,
        need: Amount,
        candidates: Collection<String>,
        refillPerMs: Double,
        most: Int,
    ): List<PlannedAsk> {
        val fills = fills(now, candidates, refillPerMs, urgent = false).filter { it.second >= MIN_FILL }
        return spread(now, need, fills.take(minOf(most, MAX_PEERS)), toKeep = true, urgent = false)
    }

    /** Returns the peers that may be asked with their estimated fill, the fullest first. */
    private fun fills(
        now: Long,
        candidates: Collection<String>,
        refillPerMs: Double,
        urgent: Boolean,
    ): List<Pair<String, Double>> {
        noteSilent(now)
        val ready = candidates.filter { mayAsk(now, it, urgent) }.sorted()
        if (ready.isEmpty()) return emptyList()
        return rotated(ready).map { it to peers.getValue(it).fillAt(now, refillPerMs) }.sortedByDescending { it.second }
    }

    /** Asks each peer for a part by its fill, so that all stocks fall evenly and no peer becomes full while another is empty. */
    private fun spread(
        now: Long,
        need: Amount,
        fills: List<Pair<String, Double>>,
        toKeep: Boolean,
        urgent: Boolean,
    ): List<PlannedAsk> {
        val whole = fills.sumOf { it.second + EVEN_FILL }
        return fills.map { (peer, fill) -> ask(now, peer, need * ((fill + EVEN_FILL) / whole), toKeep, urgent) }
    }

    /** Returns the ask, or `null` when it is unknown. */
    fun answered(
        now: Long,
        ask: Long,
        answer: QuotaHandover,
    ): Open? {
        val asked = open.remove(ask) ?: return null
        val peer = peers.getOrPut(asked.peer) { Peer() }
        peer.silentAt = -SILENT_MS
        peer.holds(now, answer.fill)
        return asked
    }

    /** Notes that an ask has no answer; its peer is asked last for a while. */
    fun failed(
        now: Long,
        ask: Long,
    ) {
        open.remove(ask)?.let { peers.getOrPut(it.peer) { Peer() }.silentAt = now }
    }

    private fun ask(
        now: Long,
        peer: String,
        amount: Amount,
        toKeep: Boolean,
        urgent: Boolean,
    ): PlannedAsk {
        val number = firstAsk++
        peers.getValue(peer).asks.addLast(now)
        open[number] = Open(peer, now, amount, toKeep)
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
        if (now - peer.silentAt < SILENT_MS) return now - last >= SILENT_GAP_MS
        if (!urgent) return now - last >= PLANNED_GAP_MS
        // The gap grows with the recent number of asks, so that asks under overload are spread over the second.
        return now - last >= maxOf(URGENT_GAP_MS, GAP_PER_ASK_MS * count)
    }

    private fun rotated(names: List<String>): List<String> {
        turn = (turn + 1) % names.size
        return names.drop(turn) + names.take(turn)
    }

    private fun noteSilent(now: Long) {
        open.values.filter { now - it.at >= ANSWER_MS }.forEach { peers.getValue(it.peer).silentAt = maxOf(it.at + ANSWER_MS, 0) }
        open.values.removeAll { now - it.at >= BORROWED_MS }
    }

    private companion object {
        /** Time in ms in which an answer normally arrives, including a scheduling delay of the peer. */
        const val ANSWER_MS = 40L
        const val URGENT_GAP_MS = 10L
        const val GAP_PER_ASK_MS = 5L
        const val PLANNED_GAP_MS = 100L

        /** Time in ms for which a peer that did not answer is asked only every [SILENT_GAP_MS]. */
        const val SILENT_MS = 2_000L
        const val SILENT_GAP_MS = 500L
        const val MAX_PEERS = 8

        /** Fill below which a peer is not asked ahead: it would hand over little for the cost of the message. */
        const val MIN_FILL = 0.15

        /** Added to each fill, so that peers estimated to be empty are asked too when requests wait. */
        const val EVEN_FILL = 0.05
    }
}
