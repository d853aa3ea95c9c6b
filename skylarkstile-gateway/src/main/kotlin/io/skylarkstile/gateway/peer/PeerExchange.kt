/*
 * What this instance tells the others and hears from them: running calls, demand, adapters asked for, and the adapters of held targets.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.adapter.AdapterHolder
import io.skylarkstile.gateway.admission.ShareDemand
import io.skylarkstile.gateway.admission.WorkspaceShares
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.membership.SetVouches
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.relay.AdapterDemand
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.AdapterWish
import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.generated.GatewayState
import io.skylarkstile.schema.generated.HeldTarget
import io.skylarkstile.schema.generated.LoadingAdapter
import io.skylarkstile.schema.generated.TargetCalls
import io.skylarkstile.schema.generated.WorkspaceDemand
import java.net.InetSocketAddress

/** States are repeated at least this often, in milliseconds, and less often in a large fleet. */
private const val STATE_MS = 250L
private const val STATE_MS_PER_INSTANCE = 8L

/** Changes within this time are told together, in milliseconds. */
private const val GATHER_MS = 4L
private const val GATHER_MS_PER_INSTANCE = 1L

/** Adapters that a peer said it holds can be ordered there for this long without news, in milliseconds. */
private const val HELD_MS = 1_500L

/** A peer heard within this time is present, in milliseconds. */
const val PRESENT_MS = 1_200L

/** Exchanges states as the instance [self]. Not thread-safe. */
class PeerExchange(
    private val self: InstanceRecord,
    private val scheduler: Scheduler,
    private val targets: TargetTable,
    private val shares: WorkspaceShares,
    private val popularity: Popularity,
    private val lease: OrderLease,
    private val noticeSuspension: () -> Unit,
    private val send: (GatewayDatagram, Collection<InetSocketAddress>) -> Unit,
    private val isLeaving: () -> Boolean,
    private val isReady: () -> Boolean,
    private val onAdapters: (TargetState) -> Unit,
) : AdapterDemand {
    val board = PeerBoard()
    private val vouches = SetVouches(self.name, self.startedAt, lease)
    private val asked = ArrayList<String>()
    private val holderOf = HashMap<String, String>()
    private var members = InstanceSet.EMPTY
    private var number = 0L
    private var sentAt = 0L
    private var isGathering = false

    /** Orders of this instance; set once at the start. */
    lateinit var holder: AdapterHolder
    private val others: List<InstanceRecord> get() = members.members.values.filter { it.name != self.name }
    private val stateMs: Long get() = maxOf(STATE_MS, STATE_MS_PER_INSTANCE * members.members.size)

    /** Applies the set of instances. */
    fun apply(set: InstanceSet) {
        members = set
        board.retain(set.members.keys)
        recount()
    }

    /** Tells the others what has changed, soon. */
    fun changed() {
        if (isGathering) return
        isGathering = true
        scheduler.after(GATHER_MS + GATHER_MS_PER_INSTANCE * members.members.size) {
            isGathering = false
            tell()
        }
    }

    /** Repeats the state when it is due. Called regularly. */
    fun tick() {
        if (scheduler.now() - sentAt >= stateMs) tell()
    }

    /** Takes a datagram. */
    fun receive(datagram: GatewayDatagram) {
        val now = scheduler.now()
        datagram.wish?.let { wish -> AdapterVersion.parseOrNull(wish.adapter)?.let { holder.wish(wish.target, it) } }
        val state = datagram.state ?: return
        if (datagram.sender == self.name || datagram.sender !in members.members) return
        if (!board.hear(datagram.sender, state, now)) return
        // A new process counts anew, so the name alone would give a jump.
        shares.told(now, "${datagram.sender}/${state.startedAt}", demandsOf(state))
        vouches.hear(state)
        state.asked.forEach { popularity.record(it, now) }
        state.held.forEach { applyHeld(it, datagram.sender, now) }
        recount()
    }

    override fun wish(
        target: TargetState,
        adapter: AdapterVersion,
    ) {
        if (holder.wish(target.id, adapter)) return
        val record = holderOf[target.id]?.let(members.members::get) ?: return
        send(GatewayDatagram(sender = self.name, wish = AdapterWish(target.id, "$adapter")), listOf(record.peers))
    }

    override fun asked(adapter: AdapterVersion) {
        popularity.record("$adapter", scheduler.now())
        asked.add("$adapter")
    }

    /** Returns whether another instance has calls that use [adapter] on [target]. */
    fun isInUseElsewhere(
        target: TargetState,
        adapter: AdapterVersion,
    ): Boolean {
        val text = "$adapter"
        return board.states().any { state -> state.calls.any { it.target == target.id && text in it.adapters } }
    }

    /** Returns where callers reach the present instances that are ready. */
    fun readyAddresses(now: Long): List<InetSocketAddress> = addresses(now) { it.isReady && !it.isLeaving }

    /** Returns where callers reach the present instances that don't leave. */
    fun presentAddresses(now: Long): List<InetSocketAddress> = addresses(now) { !it.isLeaving }

    private fun addresses(
        now: Long,
        wanted: (GatewayState) -> Boolean,
    ): List<InetSocketAddress> = board
        .recent(now, PRESENT_MS)
        .filterValues(wanted)
        .keys
        .mapNotNull { members.members[it]?.callers }

    /** Returns what the other instances last said of their workspaces. */
    fun demandsElsewhere(): List<Map<String, ShareDemand>> = board.states().map(::demandsOf)

    /** Returns whether all other instances were heard lately. */
    fun isFleetKnown(now: Long): Boolean = board.recent(now, PRESENT_MS).size == others.size

    private fun demandsOf(state: GatewayState): Map<String, ShareDemand> =
        state.demands.associate { it.workspace to ShareDemand(it.tokensPerSecond, it.admitted) }

    /** Returns the number of instances that share the bounds, this one included. */
    fun instances(): Int = maxOf(1, members.members.size)

    private fun applyHeld(
        held: HeldTarget,
        sender: String,
        now: Long,
    ) {
        val target = targets[held.target] ?: return
        holderOf[held.target] = sender
        if (held.isOrderable) target.orderableUntil = now + HELD_MS
        val present = held.present.mapNotNull(AdapterVersion::parseOrNull).associateWith { AdapterPhase.Present }
        val loading =
            held.loading.mapNotNull { item ->
                AdapterVersion.parseOrNull(item.adapter)?.let {
                    it to
                        AdapterPhase.Loading(now + item.readyInMs)
                }
            }
        val before = target.adapters
        target.adapters = present + loading
        if (before != target.adapters) onAdapters(target)
    }

    private fun recount() {
        val weights = HashMap<String, CallWeight>()
        board.states().forEach { state ->
            state.calls.forEach { weights.merge(it.target, CallWeight(it.calls, it.tokens, it.unreadTokens), CallWeight::plus) }
        }
        targets.all.forEach { it.peerWeight = weights[it.id] ?: CallWeight.NONE }
    }

    private fun tell() {
        // The age of the view is told, which isn't known after a suspension.
        noticeSuspension()
        val now = scheduler.now()
        sentAt = now
        vouches.sent(number + 1, now)
        val state =
            GatewayState(
                startedAt = self.startedAt,
                number = ++number,
                isLeaving = isLeaving(),
                isReady = isReady(),
                calls = targets.all.filter { it.ownWeight.calls > 0 }.map(::callsOn),
                demands = shares.demands(now).map { (name, demand) -> WorkspaceDemand(name, demand.tokensPerSecond, demand.admitted) },
                asked = asked.toList(),
                held = holder.known().map { held(it, now) },
                needsVouch = vouches.isNeeded(now),
                set = lease.setHash,
                setAgeMs = lease.ageOrNull(now) ?: -1,
                vouches = vouches.given(board.recent(now, PRESENT_MS)),
            )
        asked.clear()
        send(GatewayDatagram(sender = self.name, state = state), others.map { it.peers })
    }

    private fun callsOn(target: TargetState): TargetCalls {
        val weight = target.ownWeight
        return TargetCalls(target.id, weight.calls, weight.tokens, weight.unreadTokens, target.adapterCalls.keys.map { "$it" })
    }

    private fun held(
        target: TargetState,
        now: Long,
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
        )
    }
}
