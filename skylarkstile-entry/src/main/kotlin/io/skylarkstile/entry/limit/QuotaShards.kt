/*
 * Workspace accounts in shards by name, each shard under its own lock.
 */
package io.skylarkstile.entry.limit

import io.skylarkstile.core.limit.Amount
import io.skylarkstile.core.limit.QuotaLimits
import io.skylarkstile.core.limit.WorkspaceQuota
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.schema.generated.WorkspaceRecord
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.random.Random

/** Reads the limits of a workspace record. */
internal fun WorkspaceRecord.limits(): QuotaLimits =
    QuotaLimits(Amount(requestsPerSecond, tokensPerSecond), Amount(requestBurst, tokenBurst))

/** Creates, keeps and removes one [WorkspaceQuota] for each workspace of the newest snapshot. */
internal class QuotaShards(
    private val waitMs: Long,
    private val clock: () -> Long,
) {
    private class Shard {
        val lock = ReentrantLock()
        val quotas = HashMap<String, WorkspaceQuota>()
    }

    private val shards = List(SHARDS) { Shard() }

    @Volatile
    private var names = emptySet<String>()

    private var revision = -1L
    private val applying = ReentrantLock()

    val workspaces: Set<String> get() = names

    /** Runs [action] on the quota of [workspace] under its lock with the present time, or returns `null` when there is none. */
    fun <T> withQuota(
        workspace: String,
        action: (quota: WorkspaceQuota, now: Long) -> T,
    ): T? {
        val shard = shardOf(workspace)
        return shard.lock.withLock { shard.quotas[workspace]?.let { action(it, clock()) } }
    }

    /**
     * Applies the records of [snapshot]; a snapshot older than the last one is ignored. Accounts start at once and not at the first
     * request, so that an idle workspace finds its buckets full. [change] applies changed limits.
     */
    fun apply(
        snapshot: Snapshot,
        change: (WorkspaceQuota, Long, QuotaLimits) -> Unit,
    ) = applying.withLock {
        if (snapshot.revision < revision) return@withLock
        revision = snapshot.revision
        names = snapshot.workspaces.keys
        snapshot.workspaces.forEach { (name, record) -> applyLimits(name, record.limits(), change) }
        shards.forEach { shard -> shard.lock.withLock { shard.quotas.keys.retainAll(names) } }
    }

    private fun applyLimits(
        workspace: String,
        limits: QuotaLimits,
        change: (WorkspaceQuota, Long, QuotaLimits) -> Unit,
    ) {
        val shard = shardOf(workspace)
        shard.lock.withLock {
            val now = clock()
            val quota = shard.quotas.getOrPut(workspace) { WorkspaceQuota(now, limits, firstAsk(), waitMs) }
            if (quota.limits != limits) change(quota, now, limits)
        }
    }

    /** Starts ask numbers at random, since a lender takes a number of the previous process within a second for a repetition. */
    private fun firstAsk() = Random.nextLong(1, Long.MAX_VALUE / 2)

    private fun shardOf(workspace: String) = shards[Math.floorMod(workspace.hashCode(), SHARDS)]

    private companion object {
        const val SHARDS = 16
    }
}
