/*
 * The set of instances, as their objects in the store show it, and which of them gives orders to a target. All instances that have seen
 * the same state of the store compute the same holder.
 */
package io.skylarkstile.gateway.membership

import io.skylarkstile.core.cluster.stableHash
import java.net.InetSocketAddress

/** One instance, as it describes itself in the store. Addresses are where callers and peers reach it. */
data class InstanceRecord(
    val name: String,
    val dataCentre: String,
    val callers: InetSocketAddress,
    val peers: InetSocketAddress,
    /** Start of the process in Unix milliseconds. */
    val startedAt: Long,
    /** Targets to which this instance may give orders; its next process may go on at once. */
    val settled: Set<String>,
    /** Bandwidth of the machine's link in Mbit/s, 0 when unknown. */
    val linkMbps: Int = 0,
)

/** Holds the instances that the store shows. */
data class InstanceSet(
    val members: Map<String, InstanceRecord>,
) {
    /** Hash of the names, the same on all instances that know the same set. */
    val hash: Long = stableHash(members.keys.sorted().joinToString("|"))
    private val holders = HashMap<String, String?>()

    /** Returns the instance that gives orders to [target]. */
    fun holderOrNull(target: String): String? = holders.getOrPut(target) {
        members.keys.minWithOrNull(compareBy({ stableHash("$target|$it") }, { it }))
    }

    companion object {
        val EMPTY = InstanceSet(emptyMap())
    }
}
