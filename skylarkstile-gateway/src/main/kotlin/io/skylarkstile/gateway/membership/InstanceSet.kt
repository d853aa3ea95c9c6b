/*
 * The set of instances registered in the store, and the choice of the instance that gives orders to a target. All instances that have read
 * the same state of the store compute the same holder.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.core.cluster.stableHash
import java.net.InetSocketAddress

/** Describes one instance as registered in the store. [callers] and [peers] are the addresses at which callers and peers reach it. */
data class InstanceRecord(
    val name: String,
    val dataCentre: String,
    val callers: InetSocketAddress,
    val peers: InetSocketAddress,
    /** Start of the process in Unix milliseconds. */
    val startedAt: Long,
    /** Targets to which this instance may give orders; after a restart it may continue without waiting. */
    val settled: Set<String>,
    /** Bandwidth of the machine's link in Mbit/s, 0 when unknown. */
    val linkMbps: Int = 0,
)

/** Holds the registered instances by name. */
data class InstanceSet(
    val members: Map<String, InstanceRecord>,
) {
    /** Hash of the names, equal on all instances that have the same set. */
    val hash: Long = stableHash(members.keys.sorted().joinToString("|"))
    private val holders = HashMap<String, String?>()

    /** Returns the instance that gives orders to [target], or null if the set is empty. */
    fun orderHolderOrNull(target: String): String? = holders.getOrPut(target) {
        members.keys.minWithOrNull(compareBy({ stableHash("$target|$it") }, { it }))
    }

    companion object {
        val EMPTY = InstanceSet(emptyMap())
    }
}
