/*
 * Durations of the membership protocol; see the `[cluster]` settings.
 */
package io.skylarkstile.core.cluster

/** Holds durations in milliseconds. */
data class ClusterTiming(
    val heartbeatMs: Long = 500,
    val leaseMs: Long = 3_000,
    val guardMs: Long = 500,
    val isolationMs: Long = 5_000,
) {
    /** Time without a heartbeat after which a member is suspected. */
    val silenceMs: Long get() = 3 * heartbeatMs

    /** Time after which a lease that was not renewed is over on any clock. */
    val leaseOverMs: Long get() = leaseMs + guardMs
}
