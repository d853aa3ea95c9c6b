/*
 * Choice of a replica for a call to a plain service. All calls of an instance, from the HTTP front and from the ledger, share one object,
 * because only the sum of them tells which replica is least busy.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.TargetRecord
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Orders the replicas of a service by running calls; among equally busy replicas, those in [dataCentre] come first. */
class ServiceReplicas(
    private val snapshots: SnapshotSource,
    private val dataCentre: String,
) {
    private val runningCalls = ConcurrentHashMap<String, AtomicInteger>()

    /** Returns the usable replicas of [service], least busy first. */
    fun of(service: String): List<TargetRecord> {
        val snapshot = snapshots.current()
        return snapshot.targets
            .filter { (name, target) -> isUsable(target, service) && name !in snapshot.leavingTargets }
            .values
            // Each count is read only once, because the sort fails if a count changes while it runs.
            .map { it to (runningCalls[it.address]?.get() ?: 0) }
            .sortedWith(compareBy({ it.second }, { it.first.dataCentre != dataCentre }, { it.first.address }))
            .map { it.first }
    }

    /** Runs [call] and counts it as a running call of [target] meanwhile. */
    suspend fun <T> occupy(
        target: TargetRecord,
        call: suspend () -> T,
    ): T {
        val count = runningCalls.computeIfAbsent(target.address) { AtomicInteger() }
        count.incrementAndGet()
        try {
            return call()
        } finally {
            count.decrementAndGet()
        }
    }

    private fun isUsable(
        target: TargetRecord,
        service: String,
    ) = target.type == TargetRecord.Type.Service && target.service == service && !target.draining
}
