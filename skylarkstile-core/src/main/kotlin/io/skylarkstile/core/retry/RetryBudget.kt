/*
 * Limits retries, so that failing targets do not multiply the load of a workspace.
 */
package io.skylarkstile.core.retry

import java.util.concurrent.ConcurrentHashMap

/** Retries per request on average, in addition to [BURST]. */
private const val RETRY_SHARE = 0.1
private const val BURST = 10.0

/** Limits the retries of each workspace to [share] of its requests plus [burst]. Thread-safe. */
class RetryBudget(
    private val share: Double = RETRY_SHARE,
    private val burst: Double = BURST,
) {
    private class Balance(
        var retries: Double,
    )

    private val balances = ConcurrentHashMap<String, Balance>()

    /** Records one request of [workspace], which adds to its budget. */
    fun request(workspace: String) {
        val balance = balanceOf(workspace)
        synchronized(balance) { balance.retries = minOf(burst, balance.retries + share) }
    }

    /** Takes one retry from the budget of [workspace]; returns false when it is used up. */
    fun tryRetry(workspace: String): Boolean {
        val balance = balanceOf(workspace)
        return synchronized(balance) {
            (balance.retries >= 1).also { if (it) balance.retries -= 1 }
        }
    }

    /** Returns the number of retries left, by workspace. */
    fun dump(): Map<String, Double> = balances.mapValues { (_, balance) -> synchronized(balance) { balance.retries } }

    private fun balanceOf(workspace: String): Balance = balances.computeIfAbsent(workspace) { Balance(burst) }
}
