/*
 * Cluster state for the quota decisions of a workspace.
 */
package io.skylarkstile.entry.limit

import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.limit.QuotaEnvironment
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.transport.peer.PeerNetwork

/** Creates [QuotaEnvironment]s. Reads the lease each time; caches roster and links for [CACHE_MS]. */
internal class QuotaEnvironments(
    private val cluster: ClusterView,
    private val peers: PeerNetwork,
) {
    private class CachedState(
        val at: Long,
        val revision: Long,
        val members: Int,
        val incarnation: Long?,
        val peers: Set<String>,
    )

    @Volatile
    private var cached: CachedState? = null

    fun at(now: Long): QuotaEnvironment {
        val state = cached?.takeIf { now - it.at < CACHE_MS && it.revision == cluster.rosterRevision() } ?: read(now).also { cached = it }
        val lease = if (state.incarnation == null) 0 else cluster.leaseRemaining(now)
        return QuotaEnvironment(lease, state.members, state.incarnation ?: NO_INCARNATION, state.peers)
    }

    /** Reads roster and links. A joining member has no share yet: others may use larger shares until all have confirmed the roster. */
    private fun read(now: Long): CachedState {
        val revision = cluster.rosterRevision()
        val members = cluster.members()
        val self = members.firstOrNull { it.instance == cluster.self && it.state != Member.State.Joining }
        val lenders = members.filter { it.state != Member.State.Joining && it.instance != cluster.self }.map { it.instance }
        return CachedState(now, revision, members.size, self?.incarnation, lenders.toSet() intersect peers.connected())
    }

    private companion object {
        const val CACHE_MS = 50L
        const val NO_INCARNATION = -1L
    }
}
