/*
 * The core of the membership under its lock, with the end of the lease readable without it.
 */
package io.skylarkstile.entry.cluster

import io.skylarkstile.core.cluster.ClusterCore

/** Guards [core]. Blocks passed to [use] must neither wait nor call other parts. */
internal class SynchronizedClusterCore(
    private val core: ClusterCore,
) {
    val self: String = core.self

    /** End of the lease in monotonic milliseconds. */
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
