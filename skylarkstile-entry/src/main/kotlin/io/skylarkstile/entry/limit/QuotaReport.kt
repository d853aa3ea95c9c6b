/*
 * Counts and states of the limiter for the metrics and the state dump.
 */
package io.skylarkstile.entry.limit

import io.skylarkstile.core.limit.Amount
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.DoubleAdder
import java.util.concurrent.atomic.LongAdder

/** Reports counts and states of the limiter. Thread-safe. */
interface QuotaReport {
    /** Returns the counts of each workspace since the start of this process. */
    fun counts(): Map<String, QuotaCounts>

    /** Returns the current state of each workspace. */
    fun dump(): List<QuotaState>
}

/** Counts of one workspace; [refused] is by reason. The borrowed and lent requests and tokens are granted amounts. */
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

    fun recordAdmitted() = admitted.increment()

    fun recordRefused(reason: String) = refused.computeIfAbsent(reason) { LongAdder() }.increment()

    fun recordAsk() = asks.increment()

    fun recordBorrowed(amount: Amount) {
        borrowedRequests.add(amount.requests)
        borrowedTokens.add(amount.tokens)
    }

    fun recordLent(amount: Amount) {
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
