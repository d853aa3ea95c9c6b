/*
 * What instances tell each other of the adapters on targets: holders of what their targets have, and others of what their calls wait for.
 * In a large fleet, holders tell those that wait directly, and all others hear of it with the reports.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.adapter.AdapterHolder
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.HeldTarget
import io.skylarkstile.schema.generated.LoadingAdapter

/** Adapters that a peer said it holds can be ordered there for this long without news, in milliseconds. */
private const val HELD_MS = 1_500L

/** An instance whose call waits for an adapter is told at once of changes on the target for this long, in milliseconds. */
private const val WISHER_MS = 2_000L

/** Follows the adapters of [targets] for the process [teller]; [holder] orders those that this one holds. Not thread-safe. */
internal class TargetNews(
    private val teller: String,
    private val targets: TargetTable,
    private val holder: () -> AdapterHolder,
    private val onChange: (TargetState) -> Unit,
) {
    private class Heard(
        val teller: String,
        val number: Long,
    )

    private val heard = HashMap<String, Heard>()
    private val wishers = HashMap<String, HashMap<String, Long>>()
    private val changed = LinkedHashSet<String>()
    private var number = 0L

    /** Notes that calls of [instance] wait for an adapter on [target]. */
    fun wished(
        target: String,
        instance: String,
        now: Long,
    ) {
        wishers.getOrPut(target) { HashMap() }[instance] = now
    }

    /** Notes that the adapters of the held [target] have changed. */
    fun changed(target: TargetState) {
        changed.add(target.id)
    }

    /** Returns the held targets that have changed, each with the instances whose calls wait there, and forgets both. */
    fun takeNotices(now: Long): List<Pair<HeldTarget, Set<String>>> {
        wishers.values.forEach { waiting -> waiting.values.removeIf { now - it > WISHER_MS } }
        wishers.values.removeIf { it.isEmpty() }
        val notices =
            changed.mapNotNull(targets::get).mapNotNull { target ->
                wishers[target.id]?.let {
                    told(target, now, true) to
                        it.keys.toSet()
                }
            }
        changed.clear()
        return notices
    }

    /** Returns what this instance holds. With [isOrdered], receivers can tell which of two messages is later. */
    fun held(
        now: Long,
        isOrdered: Boolean,
    ): List<HeldTarget> = holder().known().map { told(it, now, isOrdered) }

    /** Applies what another instance said of a target that it holds. */
    fun apply(
        held: HeldTarget,
        now: Long,
    ) {
        val target = targets[held.target] ?: return
        if (holder().isHeld(held.target) || !isNews(held)) return
        if (held.isOrderable) target.orderableUntil = now + HELD_MS
        val present = held.present.mapNotNull(AdapterVersion::parseOrNull).associateWith { AdapterPhase.Present }
        val loading =
            held.loading.mapNotNull { item ->
                AdapterVersion.parseOrNull(item.adapter)?.let { it to AdapterPhase.Loading(now + item.readyInMs) }
            }
        val before = target.adapters
        target.adapters = present + loading
        if (before != target.adapters) onChange(target)
    }

    /** Notes that the holders of [ids] load adapters on request. */
    fun orderable(
        ids: List<String>,
        now: Long,
    ) = ids.mapNotNull(targets::get).forEach { it.orderableUntil = maxOf(it.orderableUntil, now + HELD_MS) }

    /** News of one holder may overtake each other, since they come directly and by way of the aggregators. */
    private fun isNews(held: HeldTarget): Boolean {
        val from = held.holder ?: return true
        val rank = held.number ?: 0
        val known = heard[held.target]
        if (known != null && known.teller == from && known.number >= rank) return false
        heard[held.target] = Heard(from, rank)
        // Targets that are gone are forgotten now and then.
        if (heard.size > 2 * targets.all.size) heard.keys.removeIf { targets[it] == null }
        return true
    }

    private fun told(
        target: TargetState,
        now: Long,
        isOrdered: Boolean,
    ): HeldTarget {
        val (present, loading) = target.adapters.entries.partition { it.value == AdapterPhase.Present }
        return HeldTarget(
            target = target.id,
            isOrderable = target.isOrderable(now),
            present = present.map { "${it.key}" },
            loading =
                loading.map { (adapter, phase) ->
                    LoadingAdapter("$adapter", maxOf(0, (phase as AdapterPhase.Loading).readyAt - now))
                },
            holder = teller.takeIf { isOrdered },
            number = (++number).takeIf { isOrdered },
        )
    }
}
