/*
 * The choice of a replica of a plain service. One object serves all calls of an instance, those of the front and those of the ledger,
 * because the least busy replica is only found from all of them.
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.TargetRecord
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Orders the replicas of services, those of [dataCentre] first among equally busy ones. */
class ServiceReplicas(
    private val snapshots: SnapshotSource,
    private val dataCentre: String,
) {
    private val busy = ConcurrentHashMap<String, AtomicInteger>()

    /** Returns the usable replicas of [service], the least busy first. */
    fun of(service: String): List<TargetRecord> {
        val snapshot = snapshots.current()
        return snapshot.targets
            .filter { (name, target) -> isUsable(target, service) && name !in snapshot.leavingTargets }
            .values
            // The counts are read once for each replica, because a sort fails when they change under it.
            .map { it to (busy[it.address]?.get() ?: 0) }
            .sortedWith(compareBy({ it.second }, { it.first.dataCentre != dataCentre }, { it.first.address }))
            .map { it.first }
    }

    /** Counts [target] as busy with one more call while [call] runs. */
    suspend fun <T> occupy(
        target: TargetRecord,
        call: suspend () -> T,
    ): T {
        val count = busy.computeIfAbsent(target.address) { AtomicInteger() }
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
