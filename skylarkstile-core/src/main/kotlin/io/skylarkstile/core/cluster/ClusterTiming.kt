/*
 * Durations of the membership protocol, set in the `[cluster]` section of the settings.
 */
package io.skylarkstile.core.cluster

/**
 * Holds durations in milliseconds. A lease lasts [leaseMs]; other instances wait [guardMs] longer, since their clocks run at different
 * rates.
 */
data class ClusterTiming(
    val heartbeatMs: Long = 500,
    val leaseMs: Long = 3_000,
    val guardMs: Long = 500,
    val isolationMs: Long = 5_000,
) {
    /** Time without a heartbeat after which a member is suspected to be dead. */
    val silenceMs: Long get() = 3 * heartbeatMs

    /** Time after which a lease that was not renewed has ended by the clock of any instance. */
    val leaseExpiryMs: Long get() = leaseMs + guardMs
}
