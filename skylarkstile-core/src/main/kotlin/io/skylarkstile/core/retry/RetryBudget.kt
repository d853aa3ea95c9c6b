/*
 * A bound on retries, so that failing targets do not multiply the load of a workspace.
 */
package io.skylarkstile.core.retry

import java.util.concurrent.ConcurrentHashMap

/** Retries are at most this share of requests, plus [BURST]. */
private const val RETRY_SHARE = 0.1
private const val BURST = 10.0

/** Allows retries per workspace: at most a [share] of its requests plus a [burst]. Safe for use by several threads. */
class RetryBudget(
    private val share: Double = RETRY_SHARE,
    private val burst: Double = BURST,
) {
    private class Balance(
        var retries: Double,
    )

    private val balances = ConcurrentHashMap<String, Balance>()

    /** Counts one request of [workspace]. */
    fun request(workspace: String) {
        val balance = balanceOf(workspace)
        synchronized(balance) { balance.retries = minOf(burst, balance.retries + share) }
    }

    /** Takes one retry; returns false when the budget of [workspace] is used up. */
    fun tryRetry(workspace: String): Boolean {
        val balance = balanceOf(workspace)
        return synchronized(balance) {
            (balance.retries >= 1).also { if (it) balance.retries -= 1 }
        }
    }

    /** Returns the retries left by workspace. */
    fun dump(): Map<String, Double> = balances.mapValues { (_, balance) -> synchronized(balance) { balance.retries } }

    private fun balanceOf(workspace: String): Balance = balances.computeIfAbsent(workspace) { Balance(burst) }
}
