/*
 * Reference for judging refusals: one central token bucket per workspace. A request that the bucket admits and the system refuses was
 * refused although it was within the rate.
 */
package io.skylarkstile.bench.trace

/** Quota limits as in a workspace record: rates per second, and bursts in requests and tokens. */
data class QuotaLimits(
    val requestsPerSecond: Double,
    val requestBurst: Double,
    val tokensPerSecond: Double,
    val tokenBurst: Double,
)

/** Ratio of a workspace's allowed rate to its mean load; above 1, so that steady load stays within the rate. */
private const val RATE_MARGIN = 1.25
private const val BURST_SECONDS = 4.0

/** Smallest request burst. A workspace with less than one request per second must still be able to open a page. */
private const val MIN_BURST = 10.0

/** Ratio of the tokens allowed per request to the mean; no request of a trace asks for more than 1.5 times the mean. */
private const val TOKEN_MARGIN = 2.0

/** Returns the limits that the benchmark writes into the record of [workspace] when it starts a fleet for [profile]. */
fun limitsOf(
    profile: Profile,
    workspace: ProfileWorkspace,
): QuotaLimits {
    val rate = profile.requestsPerSecond * workspace.share * RATE_MARGIN
    val burst = maxOf(MIN_BURST, rate * BURST_SECONDS)
    return QuotaLimits(rate, burst, rate * profile.meanTokens * TOKEN_MARGIN, burst * profile.meanTokens * TOKEN_MARGIN)
}

/** Admits arrivals, passed in order of time, as one token bucket for the whole fleet would. */
class IdealQuota(
    private val limits: QuotaLimits,
) {
    private var requests = limits.requestBurst
    private var tokens = limits.tokenBurst
    private var lastAtMs = 0L

    /** Returns whether a request for [tokenCount] tokens at [atMs] is within the rate, and deducts it if so. */
    fun admits(
        atMs: Long,
        tokenCount: Int,
    ): Boolean {
        val seconds = (atMs - lastAtMs) / MS_PER_SECOND
        lastAtMs = atMs
        requests = (requests + seconds * limits.requestsPerSecond).coerceAtMost(limits.requestBurst)
        tokens = (tokens + seconds * limits.tokensPerSecond).coerceAtMost(limits.tokenBurst)
        if (requests < 1.0 || tokens < tokenCount) return false
        requests -= 1.0
        tokens -= tokenCount
        return true
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
