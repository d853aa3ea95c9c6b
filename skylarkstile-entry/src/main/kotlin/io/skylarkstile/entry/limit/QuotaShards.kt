/*
 * Quotas of the workspaces, distributed by name over shards that each have a lock.
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

/** Returns the limits that a workspace record sets. */
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
    private var workspaceNames = emptySet<String>()

    private var revision = -1L
    private val applyLock = ReentrantLock()

    val workspaces: Set<String> get() = workspaceNames

    /** Runs [action] on the quota of [workspace] with the current time, under its lock. Returns `null` if the workspace has no quota. */
    fun <T> withQuota(
        workspace: String,
        action: (quota: WorkspaceQuota, now: Long) -> T,
    ): T? {
        val shard = shardOf(workspace)
        return shard.lock.withLock { shard.quotas[workspace]?.let { action(it, clock()) } }
    }

    /**
     * Applies the records of [snapshot]; ignores a snapshot older than the last one. Creates quotas at once instead of at the first
     * request, so that the buckets of an idle workspace are full by then. Calls [onLimitsChange] for changed limits.
     */
    fun apply(
        snapshot: Snapshot,
        onLimitsChange: (WorkspaceQuota, Long, QuotaLimits) -> Unit,
    ) = applyLock.withLock {
        if (snapshot.revision < revision) return@withLock
        revision = snapshot.revision
        workspaceNames = snapshot.workspaces.keys
        snapshot.workspaces.forEach { (name, record) -> applyLimits(name, record.limits(), onLimitsChange) }
        shards.forEach { shard -> shard.lock.withLock { shard.quotas.keys.retainAll(workspaceNames) } }
    }

    private fun applyLimits(
        workspace: String,
        limits: QuotaLimits,
        onLimitsChange: (WorkspaceQuota, Long, QuotaLimits) -> Unit,
    ) {
        val shard = shardOf(workspace)
        shard.lock.withLock {
            val now = clock()
            val quota = shard.quotas.getOrPut(workspace) { WorkspaceQuota(now, limits, randomAskNumber(), waitMs) }
            if (quota.limits != limits) onLimitsChange(quota, now, limits)
        }
    }

    /** Returns a random first ask number: a lender treats one that the previous process used within the last second as a repetition. */
    private fun randomAskNumber() = Random.nextLong(1, Long.MAX_VALUE / 2)

    private fun shardOf(workspace: String) = shards[Math.floorMod(workspace.hashCode(), SHARDS)]

    private companion object {
        const val SHARDS = 16
    }
}
