/*
 * Fleet-wide limit of adapter loads (design page, 3.6): requests permits from the owner of the resource `load-budget`, and grants them
 * while this instance owns it.
 */
package io.skylarkstile.entry.target

import com.github.michaelbull.result.getOrElse
import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.cluster.ResourceHolder
import io.skylarkstile.core.cluster.loadBudgetResource
import io.skylarkstile.core.load.FallbackPace
import io.skylarkstile.core.load.LoadKey
import io.skylarkstile.core.load.LoadLimits
import io.skylarkstile.core.load.LoadQueue
import io.skylarkstile.core.load.LoadQueueDump
import io.skylarkstile.schema.generated.LoadAsk
import io.skylarkstile.schema.generated.LoadDone
import io.skylarkstile.schema.generated.LoadGrant
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.PeerNetwork
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** The owner answers within [GRANT_WAIT_MS], so a call without an answer after this time did not reach a working owner. */
private const val CALL_TIMEOUT_MS = 1_000L

/** When the owner has been unavailable for this long, the first members load without its permits. */
private const val FALLBACK_DELAY_MS = 1_000L

/** Longest time for which the owner holds a permit request before it denies it. */
private const val GRANT_WAIT_MS = 500L
private const val GRANT_POLL_MS = 10L

/** Pause after a denied request, before the caller repeats it. */
private const val DENIED_PAUSE_MS = 50L

/** Reports the state of the load budget. [queue] is null on an instance that does not own it. */
@Serializable
data class LoadBudgetDump(
    val queue: LoadQueueDump?,
    val lastRefusal: String?,
    val fallbackLoads: Long,
)

/** Grants load permits to the target owners of all instances while this instance owns the budget; otherwise asks the owner for them. */
internal class LoadBudget(
    private val cluster: ClusterView,
    private val network: PeerNetwork,
    private val limits: LoadLimits,
    private val now: () -> Long,
) : ResourceHolder,
    LoadPermits {
    private val lock = ReentrantLock()
    private var queue: LoadQueue? = null
    private val fallback = FallbackPace(limits)
    private var lastRefusal: String? = null
    private var fallbackLoads = 0L
    private var ownerUnavailableSince: Long? = null

    init {
        network.answer(MessageKinds.loadAsk, MessageKinds.loadGrant) { _, ask -> awaitGrantOrNull(ask) ?: LoadGrant(granted = false) }
        network.receive(MessageKinds.loadDone) { _, done -> releasePermit(done.permit) }
    }

    override fun resources(): List<Resource> = listOf(loadBudgetResource)

    /** Starts permit numbers at the epoch times 2^20, so that a late `LoadDone` for a permit of a previous owner releases none of these. */
    override fun acquired(
        resource: Resource,
        epoch: Long,
    ) = lock.withLock { queue = LoadQueue(limits, now(), firstPermit = epoch shl 20) }

    override fun released(resource: Resource): Map<String, Int> = lock.withLock { emptyMap<String, Int>().also { queue = null } }

    override suspend fun acquireOrNull(ask: LoadAsk): LoadPermit? = when (val ownership = cluster.ownership(loadBudgetResource, now())) {
        is Ownership.Held -> awaitGrantOrNull(ask)?.permit?.let { number -> LoadPermit { releasePermit(number) } }
        is Ownership.Elsewhere -> askOwner(ownership.instance, ask)
        Ownership.Pending, Ownership.Nobody -> fallbackPermitOrNull()
    } ?: null.also { delay(DENIED_PAUSE_MS) }

    private suspend fun askOwner(
        owner: String,
        ask: LoadAsk,
    ): LoadPermit? {
        val grant =
            network
                .call(
                    owner,
                    MessageKinds.loadAsk,
                    ask,
                    MessageKinds.loadGrant,
                    CALL_TIMEOUT_MS,
                ).getOrElse { return fallbackPermitOrNull() }
        lock.withLock { ownerUnavailableSince = null }
        val number = grant.permit?.takeIf { grant.granted } ?: return null
        return LoadPermit { network.send(owner, MessageKinds.loadDone, LoadDone(number)) }
    }

    /** Queues [ask] and waits for its permit; returns null if none is granted within 500 ms or this instance does not own the budget. */
    private suspend fun awaitGrantOrNull(ask: LoadAsk): LoadGrant? {
        val key = LoadKey(ask.target, ask.adapter)
        val until = now() + GRANT_WAIT_MS
        val askedAt = now()
        try {
            do {
                val waited = ask.oldestMs + now() - askedAt
                if (!mayGrant()) return null
                val queue = lock.withLock { queue?.also { it.ask(key, ask.waiting, waited, now()) } } ?: return null
                tryGrant(queue, key)?.let { return it }
                delay(GRANT_POLL_MS)
            } while (now() < until)
            return null
        } finally {
            lock.withLock { queue?.withdraw(key) }
        }
    }

    private fun mayGrant(): Boolean = now().let {
        cluster.ownership(loadBudgetResource, it) is Ownership.Held &&
            cluster.leaseRemaining(it) > 0
    }

    /** Grants the permit for [key] if it is the most urgent request; each other request polls for its own grant. */
    private fun tryGrant(
        queue: LoadQueue,
        key: LoadKey,
    ): LoadGrant? = lock.withLock {
        val decision = queue.grantTo(key, now())
        lastRefusal = decision.reason
        decision.permitOrNull?.let { LoadGrant(granted = true, permit = it.number) }
    }

    private fun releasePermit(number: Long) = lock.withLock { queue?.done(number) ?: Unit }

    private fun fallbackPermitOrNull(): LoadPermit? = lock.withLock {
        val since = ownerUnavailableSince ?: now().also { ownerUnavailableSince = it }
        if (now() - since < FALLBACK_DELAY_MS) return null
        val members = cluster.members().map { it.instance }
        val refusal = fallback.refusalOrNull(cluster.self, members, now())
        lastRefusal = refusal?.let { "fallback: $it" }
        if (refusal != null) return null
        fallback.start(members.size, now())
        fallbackLoads++
        LoadPermit { lock.withLock { fallback.end() } }
    }

    fun dump(): LoadBudgetDump = lock.withLock { LoadBudgetDump(queue?.dump(now()), lastRefusal, fallbackLoads) }
}
