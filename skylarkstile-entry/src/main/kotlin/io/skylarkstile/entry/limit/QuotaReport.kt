/*
 * What metrics and the state dump read from the limiter.
 */
package io.skylarkstile.entry.limit

import io.skylarkstile.core.limit.Amount
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.DoubleAdder
import java.util.concurrent.atomic.LongAdder

/** Reports counts and states of the limiter; safe from any thread. */
interface QuotaReport {
    /** Returns the counts of each workspace since the start of this process. */
    fun counts(): Map<String, QuotaCounts>

    /** Returns the present state of each workspace. */
    fun dump(): List<QuotaState>
}

/** Counts of one workspace; [refused] is by reason, [lent] and [borrowed] are amounts granted. */
@Serializable
data class QuotaCounts(
    val admitted: Long,
    val refused: Map<String, Long>,
    val asks: Long,
    val borrowedRequests: Double,
    val borrowedTokens: Double,
    val lentRequests: Double,
    val lentTokens: Double,
)

/** State of one workspace on this instance. */
@Serializable
data class QuotaState(
    val workspace: String,
    val requests: Double,
    val tokens: Double,
    val lentRequests: Double,
    val lentTokens: Double,
    val borrowedRequests: Double,
    val borrowedTokens: Double,
    val requestCapacity: Double,
    val tokenCapacity: Double,
    val waiting: Int,
)

/** Collects [QuotaCounts] without a lock. */
internal class QuotaCounter {
    private val admitted = LongAdder()
    private val refused = ConcurrentHashMap<String, LongAdder>()
    private val asks = LongAdder()
    private val borrowedRequests = DoubleAdder()
    private val borrowedTokens = DoubleAdder()
    private val lentRequests = DoubleAdder()
    private val lentTokens = DoubleAdder()

    fun admitted() = admitted.increment()

    fun refused(reason: String) = refused.computeIfAbsent(reason) { LongAdder() }.increment()

    fun asked() = asks.increment()

    fun borrowed(amount: Amount) {
        borrowedRequests.add(amount.requests)
        borrowedTokens.add(amount.tokens)
    }

    fun lent(amount: Amount) {
        lentRequests.add(amount.requests)
        lentTokens.add(amount.tokens)
    }

    fun counts() = QuotaCounts(
        admitted.sum(),
        refused.mapValues { it.value.sum() },
        asks.sum(),
        borrowedRequests.sum(),
        borrowedTokens.sum(),
        lentRequests.sum(),
        lentTokens.sum(),
    )
}
