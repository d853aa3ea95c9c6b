/*
 * Finds instances that are gone and removes their records. Silence alone is no proof: messages of a live instance may be lost on the way
 * for seconds, and its targets would then be given to another holder. So a silent instance is asked over a connection before it is removed.
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

/** An instance that wasn't heard for this long is taken for lost, in milliseconds; a restart takes less. */
private const val LOST_MS = 3_500L

/** A silent instance is asked this long before it would be removed, in milliseconds. */
private const val ASKED_BEFORE_MS = 900L

/** What a silent instance didn't answer counts for this long, in milliseconds; then it is asked again. */
private const val VERDICT_MS = 2_000L

/** Each further instance, in order of names, waits this much longer before it removes a lost one, in milliseconds. */
private const val TURN_MS = 700L

/** Records removed at a time: after a power loss of many machines their targets shouldn't wait for each other. */
private const val MOST_REMOVALS = 8

/** Asks instances over a connection of its own whether they live. */
fun interface LivenessCheck {
    /** Asks the instance of [record]; [done] gets true when it answers in time. */
    fun ask(
        record: InstanceRecord,
        done: (Boolean) -> Unit,
    )
}

/** The [record] of an instance as the store shows it at [revision], known since [seenAt]. */
internal class KnownInstance(
    val record: InstanceRecord,
    val revision: Long,
    val seenAt: Long,
)

/** Removes lost instances; [onConflict] is called when a record was found to be another than the known one. Not thread-safe. */
internal class LostInstances(
    private val store: SharedStore,
    private val scheduler: Scheduler,
    private val presence: PeerPresence,
    private val liveness: LivenessCheck,
    private val onConflict: () -> Unit,
) {
    private class Asked(
        val at: Long,
        /** Null until it answers or its time is over. */
        var lives: Boolean? = null,
    )

    private val asked = HashMap<String, Asked>()

    /** Revisions of the records that were removed, until the store no longer shows them. */
    private val removed = HashMap<String, Long>()
    private var removals = 0

    /** Looks at all [others]. Called regularly. */
    fun tend(
        others: Map<String, KnownInstance>,
        now: Long,
    ) {
        asked.keys.retainAll(others.keys)
        removed.entries.removeIf { (name, revision) -> others[name]?.revision != revision }
        val (silent, present) = others.entries.partition { (name, it) -> silentMs(name, it, now) > LOST_MS - ASKED_BEFORE_MS }
        // One that hears less than half of the others is more likely cut off itself.
        if (silent.isEmpty() || present.size < others.size / 2) return
        val heard = present.map { it.key }
        silent
            .filter { (name, _) -> name !in removed && presence.removalTurnOrNull(name, heard) != null }
            .onEach { (name, it) -> ask(name, it.record, now) }
            .filter { (name, it) -> isGone(name, it, presence.removalTurnOrNull(name, heard) ?: 0, now) }
            .take(MOST_REMOVALS - removals)
            .forEach { (name, it) -> remove(name, it, now) }
    }

    private fun isGone(
        name: String,
        known: KnownInstance,
        turn: Int,
        now: Long,
    ) = asked[name]?.lives == false && silentMs(name, known, now) > LOST_MS + turn * TURN_MS

    private fun ask(
        name: String,
        record: InstanceRecord,
        now: Long,
    ) {
        val last = asked[name]
        if (last != null && now - last.at <= VERDICT_MS) return
        val asking = Asked(now)
        asked[name] = asking
        liveness.ask(record) { lives ->
            asking.lives = lives
            if (lives) log.event(Level.INFO, "silent-instance-answered", "instance" to name) { "instance $name is silent, but it lives" }
        }
    }

    private fun silentMs(
        name: String,
        known: KnownInstance,
        now: Long,
    ): Long {
        val answeredAt = asked[name]?.takeIf { it.lives == true }?.at ?: Long.MIN_VALUE
        return now - maxOf(presence.heardAtOrNull(name) ?: Long.MIN_VALUE, known.seenAt, answeredAt)
    }

    private fun remove(
        name: String,
        gone: KnownInstance,
        now: Long,
    ) {
        removed[name] = gone.revision
        removals++
        log.event(Level.WARN, "instance-removed", "instance" to name, "silentMs" to silentMs(name, gone, now)) {
            "removing instance $name, which nobody hears and which doesn't answer"
        }
        store.remove(StoreKind.Instances, name, gone.revision) { result ->
            removals--
            if (result == StoreResult.Conflict) onConflict()
            if (result !is StoreResult.Success) {
                removed.remove(name)
                log.event(Level.WARN, "instance-not-removed", "instance" to name, "result" to "$result") { "instance $name not removed" }
            }
        }
    }
}
