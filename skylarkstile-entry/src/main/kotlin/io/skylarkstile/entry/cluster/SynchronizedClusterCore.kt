/*
 * Synchronizes access to the membership core and publishes the end of the lease for reads without the lock.
 */
package io.skylarkstile.entry.cluster

import io.skylarkstile.core.cluster.ClusterCore

/** Guards [core] with a lock. A block passed to [use] must neither block nor call other components. */
internal class SynchronizedClusterCore(
    private val core: ClusterCore,
) {
    val self: String = core.self

    /** End of the lease in monotonic milliseconds; updated after each [use]. */
    @Volatile
    var leaseUntil: Long = Long.MIN_VALUE
        private set

    fun <T> use(block: (ClusterCore) -> T): T = synchronized(core) {
        try {
            block(core)
        } finally {
            leaseUntil = core.leaseUntil()
        }
    }
}
