/*
 * Decides which peers are asked for tokens, when and for how much, and keeps the rate of asks bounded.
 */
package io.skylarkstile.core.limit

/** Most asks to one peer for one workspace within a second. */
const val MAX_ASKS_PER_SECOND = 20

/** One ask to be sent. */
data class PlannedAsk(
    val peer: String,
    val ask: Long,
    val amount: Amount,
)

/** Spreads needs over peers. Ask numbers start at [firstAsk]; a lender ignores a number that it has seen in the last second. */
internal class AskPlanner(
    private var firstAsk: Long,
) {
    private class Peer {
        val asks = ArrayDeque<Long>()
        var shortAt = -SHORT_MS
        var silentAt = -SILENT_MS
    }

    private class Open(
        val peer: String,
        val at: Long,
        val amount: Amount,
    )

    private val peers = HashMap<String, Peer>()
    private val open = LinkedHashMap<Long, Open>()
    private var turn = 0

    /** Returns the amount asked for so recently that an answer can still be expected. */
    fun expected(now: Long): Amount = open.values.filter { now - it.at < ANSWER_MS }.fold(Amount.NONE) { sum, ask -> sum + ask.amount }

    /** Plans asks for [need] to some of [candidates]. An [urgent] need may follow the last ask to a peer after a short pause. */
    fun plan(
        now: Long,
        need: Amount,
        candidates: Collection<String>,
        urgent: Boolean,
    ): List<PlannedAsk> {
        noteSilent(now)
        val ready = candidates.filter { mayAsk(now, it, urgent) }.sorted()
        if (ready.isEmpty()) return emptyList()
        val chosen = rotated(ready).sortedBy { isShort(now, it) }.take(MAX_PEERS)
        val part = need * (1.0 / chosen.size)
        return chosen.map { ask(now, it, part) }
    }

    /** Returns when the ask was made, or `null` when it is unknown. */
    fun answered(
        now: Long,
        ask: Long,
        granted: Amount,
    ): Long? {
        val asked = open.remove(ask) ?: return null
        val peer = peers.getOrPut(asked.peer) { Peer() }
        peer.silentAt = -SILENT_MS
        if (!granted.covers(asked.amount)) peer.shortAt = now
        return asked.at
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
    ): PlannedAsk {
        val number = firstAsk++
        peers.getValue(peer).asks.addLast(now)
        open[number] = Open(peer, now, amount)
        return PlannedAsk(peer, number, amount)
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
        if (!urgent) return !isShort(now, name) && now - last >= PLANNED_GAP_MS
        // The gap grows with the recent number of asks, so that asks under overload are spread over the second.
        return now - last >= maxOf(URGENT_GAP_MS, GAP_PER_ASK_MS * count)
    }

    private fun isShort(
        now: Long,
        name: String,
    ): Boolean = now - peers.getValue(name).shortAt < SHORT_MS

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

        /** Time in ms for which a peer that granted less than asked gets no planned ask. */
        const val SHORT_MS = 150L

        /** Time in ms for which a peer that did not answer is asked only every [SILENT_GAP_MS]. */
        const val SILENT_MS = 2_000L
        const val SILENT_GAP_MS = 500L
        const val MAX_PEERS = 8
    }
}
