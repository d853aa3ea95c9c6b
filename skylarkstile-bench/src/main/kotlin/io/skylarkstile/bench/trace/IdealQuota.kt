/*
 * One central token bucket for each workspace, as the reference for refusals: a request that it admits and the system refuses was
 * refused although within rate.
 */
package io.skylarkstile.bench.trace

/** A workspace's limits as its record states them; rates per second. */
data class QuotaLimits(
    val requestsPerSecond: Double,
    val requestBurst: Double,
    val tokensPerSecond: Double,
    val tokenBurst: Double,
)

/** A workspace's rate over its mean load, so that steady load is within rate. */
private const val RATE_MARGIN = 1.25
private const val BURST_SECONDS = 4.0

/** Smallest burst of requests; a workspace of less than one request per second must be able to open a page. */
private const val MIN_BURST = 10.0

/** Tokens allowed for each request, over the mean; no request of a trace asks for more than 1.5 times the mean. */
private const val TOKEN_MARGIN = 2.0

/** Returns the limits that a fleet started for [profile] writes into the record of [workspace]. */
fun limitsOf(
    profile: Profile,
    workspace: ProfileWorkspace,
): QuotaLimits {
    val rate = profile.requestsPerSecond * workspace.share * RATE_MARGIN
    val burst = maxOf(MIN_BURST, rate * BURST_SECONDS)
    return QuotaLimits(rate, burst, rate * profile.meanTokens * TOKEN_MARGIN, burst * profile.meanTokens * TOKEN_MARGIN)
}

/** Decides on arrivals in order of time as one bucket for the whole fleet would. */
class IdealQuota(
    private val limits: QuotaLimits,
) {
    private var requests = limits.requestBurst
    private var tokens = limits.tokenBurst
    private var last = 0L

    /** Returns whether a request of [count] tokens at [atMs] is within the rate; charges it if so. */
    fun admits(
        atMs: Long,
        count: Int,
    ): Boolean {
        val seconds = (atMs - last) / MS_PER_SECOND
        last = atMs
        requests = (requests + seconds * limits.requestsPerSecond).coerceAtMost(limits.requestBurst)
        tokens = (tokens + seconds * limits.tokensPerSecond).coerceAtMost(limits.tokenBurst)
        if (requests < 1.0 || tokens < count) return false
        requests -= 1.0
        tokens -= count
        return true
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
