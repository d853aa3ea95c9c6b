/*
 * Detects failed instances and removes their records. Silence alone is no proof of failure: messages of a live instance may be lost for
 * seconds, and its targets would then get another holder. A silent instance is therefore probed over a connection before it is removed.
 */
package io.skylarkstile.gateway.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.store.SharedStore
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.store.StoreResult

private val log = KotlinLogging.logger {}

/** Time without messages after which an instance counts as failed, in milliseconds; a restart takes less. */
private const val FAILURE_TIMEOUT_MS = 3_500L

/** Time before its removal at which a silent instance is first probed, in milliseconds. */
private const val PROBE_LEAD_MS = 900L

/** Time for which the result of a probe counts, in milliseconds; then a silent instance is probed again. */
private const val REPROBE_INTERVAL_MS = 2_000L

/** Additional delay before a removal for each instance whose turn comes before this one's, in milliseconds. */
private const val REMOVAL_STAGGER_MS = 700L

/** Maximum number of concurrent removals: after a power loss of many machines their targets shouldn't wait for each other. */
private const val MAX_CONCURRENT_REMOVALS = 8

/** Probes over a separate connection whether an instance is alive. */
fun interface LivenessCheck {
    /** Probes the instance of [record]; [done] receives whether it answered in time. */
    fun probe(
        record: InstanceRecord,
        done: (Boolean) -> Unit,
    )
}

/** Holds the [record] of an instance as stored at [revision]; the instance was first seen in the store at [seenAt]. */
internal class KnownInstance(
    val record: InstanceRecord,
    val revision: Long,
    val seenAt: Long,
)

/** Removes failed instances; [onConflict] is called if the stored record was changed in the meantime. Not thread-safe. */
internal class FailureDetector(
    private val store: SharedStore,
    private val scheduler: Scheduler,
    private val presence: PeerContacts,
    private val liveness: LivenessCheck,
    private val onConflict: () -> Unit,
) {
    private class Probe(
        val at: Long,
        /** Null until the instance answers or the probe times out. */
        var isAlive: Boolean? = null,
    )

    private val probes = HashMap<String, Probe>()

    /** Revisions of the removed records by name, kept until the records have disappeared from the store. */
    private val removed = HashMap<String, Long>()
    private var removalsInProgress = 0

    /** Probes the silent ones among [others] and removes those that have failed. Called periodically. */
    fun removeFailed(
        others: Map<String, KnownInstance>,
        now: Long,
    ) {
        probes.keys.retainAll(others.keys)
        removed.entries.removeIf { (name, revision) -> others[name]?.revision != revision }
        val (silent, present) = others.entries.partition { (name, it) -> silentMs(name, it, now) > FAILURE_TIMEOUT_MS - PROBE_LEAD_MS }
        // An instance that receives messages from fewer than half of the others is more likely to be disconnected itself.
        if (silent.isEmpty() || present.size < others.size / 2) return
        val heard = present.map { it.key }
        silent
            .filter { (name, _) -> name !in removed && presence.removalRankOrNull(name, heard) != null }
            .onEach { (name, it) -> probe(name, it.record, now) }
            .filter { (name, it) -> hasFailed(name, it, presence.removalRankOrNull(name, heard) ?: 0, now) }
            .take(MAX_CONCURRENT_REMOVALS - removalsInProgress)
            .forEach { (name, it) -> remove(name, it, now) }
    }

    private fun hasFailed(
        name: String,
        known: KnownInstance,
        turn: Int,
        now: Long,
    ) = probes[name]?.isAlive == false && silentMs(name, known, now) > FAILURE_TIMEOUT_MS + turn * REMOVAL_STAGGER_MS

    private fun probe(
        name: String,
        record: InstanceRecord,
        now: Long,
    ) {
        val last = probes[name]
        if (last != null && now - last.at <= REPROBE_INTERVAL_MS) return
        val probe = Probe(now)
        probes[name] = probe
        liveness.probe(record) { isAlive ->
            probe.isAlive = isAlive
            if (isAlive) log.event(Level.INFO, "silent-instance-answered", "instance" to name) { "instance $name is silent but alive" }
        }
    }

    private fun silentMs(
        name: String,
        known: KnownInstance,
        now: Long,
    ): Long {
        val answeredAt = probes[name]?.takeIf { it.isAlive == true }?.at ?: Long.MIN_VALUE
        return now - maxOf(presence.lastHeardAtOrNull(name) ?: Long.MIN_VALUE, known.seenAt, answeredAt)
    }

    private fun remove(
        name: String,
        failed: KnownInstance,
        now: Long,
    ) {
        removed[name] = failed.revision
        removalsInProgress++
        log.event(Level.WARN, "instance-removed", "instance" to name, "silentMs" to silentMs(name, failed, now)) {
            "removing instance $name, which sends no messages and doesn't answer the probe"
        }
        store.remove(StoreKind.Instances, name, failed.revision) { result ->
            removalsInProgress--
            if (result == StoreResult.Conflict) onConflict()
            if (result !is StoreResult.Success) {
                removed.remove(name)
                log.event(Level.WARN, "instance-not-removed", "instance" to name, "result" to "$result") { "can't remove instance $name" }
            }
        }
    }
}
