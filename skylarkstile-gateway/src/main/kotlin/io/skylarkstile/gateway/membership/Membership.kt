/*
 * This instance's place among the others: its own record in the store and the set that the records show.
 */
package io.skylarkstile.gateway.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.store.KindListener
import io.skylarkstile.gateway.store.SharedStore
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.store.StorePage
import io.skylarkstile.gateway.store.StoreResult
import io.skylarkstile.gateway.store.StoredObject
import io.skylarkstile.schema.generated.GatewayInstance
import io.skylarkstile.schema.recordJson
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Follows the set of instances for the one described by [self]. Not thread-safe. */
class Membership(
    private val self: InstanceRecord,
    private val store: SharedStore,
    private val scheduler: Scheduler,
    private val lease: OrderLease,
    private val targetIds: () -> Collection<String>,
    presence: PeerPresence,
    liveness: LivenessCheck,
    private val onChange: (InstanceSet) -> Unit,
    private val listAnew: () -> Unit = {},
) : KindListener {
    private val known = HashMap<String, KnownInstance>()
    private val lost = LostInstances(store, scheduler, presence, liveness, listAnew)
    private var isListed = false
    private var isWriting = false
    private var isStopped = false
    private var writeAt = 0L

    /** The instances that the store shows. */
    var set = InstanceSet.EMPTY
        private set

    override fun listed(
        page: StorePage,
        now: Long,
        returnBy: Long?,
    ) {
        if (isListed) lease.missedChanges(now)
        val before = known.toMap()
        known.clear()
        page.objects.forEach { put(it, now, before[it.name]) }
        apply(page.revision, if (isListed) emptySet() else known[self.name]?.record?.settled.orEmpty(), now)
        isListed = true
    }

    override fun changed(
        page: StorePage,
        now: Long,
        returnBy: Long?,
    ) {
        if (page.objects.all { it.spec != null }) {
            page.objects.forEach { put(it, now, known[it.name]) }
            return apply(page.revision, emptySet(), now)
        }
        // One by one: an instance that joined and left between two looks may have held orders.
        page.objects.forEach { item ->
            if (item.spec != null) {
                put(item, now, known[item.name])
            } else if (known.remove(item.name) == null) {
                lease.missedChanges(now)
            }
            apply(page.revision, emptySet(), now)
        }
    }

    override fun confirmed(
        at: Long,
        askedAt: Long,
        revision: Long,
    ) = lease.confirm(at, revision, askedAt)

    /** Writes the own record where it is missing or old, and removes lost instances. Called regularly. */
    fun tend() {
        val now = scheduler.now()
        if (!isListed || isStopped) return
        lost.tend(known.filterKeys { it != self.name }, now)
        if (isWriting || now < writeAt) return
        val own = known[self.name]
        val settled = lease.settledOrNull(now)
        when {
            own == null -> write(self, null, now)
            own.record.startedAt != self.startedAt || (settled != null && differs(own.record.settled, settled)) ->
                write(self.copy(settled = settled ?: own.record.settled), own.revision, now)
        }
    }

    /** Targets that are gone may stay in the record: nobody can become their holder. */
    private fun differs(
        recorded: Set<String>,
        settled: Set<String>,
    ): Boolean = settled.any { it !in recorded } || targetIds().any { it in recorded && it !in settled }

    /** Ends writing; the record stays for the next process of this machine, or until the others miss it. */
    fun stop() {
        isStopped = true
    }

    private fun apply(
        revision: Long,
        resumed: Set<String>,
        now: Long,
    ) {
        val changed = set(known)
        if (changed.members.keys == set.members.keys && isListed) {
            set = changed
            return onChange(set)
        }
        log.event(
            Level.INFO,
            "instances-changed",
            "revision" to revision,
            "resumed" to resumed.size,
            "instances" to changed.members.size,
            "joined" to (changed.members.keys - set.members.keys).sorted(),
            "left" to (set.members.keys - changed.members.keys).sorted(),
        ) { "the set of instances has changed" }
        set = changed
        lease.apply(set, targetIds(), revision, resumed, now)
        onChange(set)
    }

    private fun set(known: Map<String, KnownInstance>) = InstanceSet(known.mapValues { it.value.record })

    private fun put(
        item: StoredObject,
        now: Long,
        before: KnownInstance?,
    ) {
        // What others tell may be older than the answer to an own write.
        if (before != null && before.revision > item.revision) return
        val record = item.spec?.let { recordOrNull(item.name, it) }
        if (record == null) {
            log.event(Level.WARN, "record-unreadable", "name" to item.name) { "record of instance ${item.name} can't be read" }
            return
        }
        known[item.name] = KnownInstance(record, item.revision, before?.seenAt ?: now)
    }

    private fun write(
        record: InstanceRecord,
        expected: Long?,
        now: Long,
    ) {
        isWriting = true
        val spec = recordJson.encodeToString(GatewayInstance.serializer(), stored(record))
        val done = { result: StoreResult<StoredObject> ->
            isWriting = false
            writeAt = scheduler.now() + if (result is StoreResult.Success) GATHER_MS else WRITE_PAUSE_MS
            when (result) {
                is StoreResult.Success -> known[self.name] = KnownInstance(record, result.value.revision, now)
                else -> {
                    log.event(Level.WARN, "own-record-not-written", "result" to "$result") { "own record not written" }
                    if (result == StoreResult.Conflict) listAnew()
                }
            }
        }
        if (expected ==
            null
        ) {
            store.create(StoreKind.Instances, self.name, spec, done)
        } else {
            store.replace(StoreKind.Instances, self.name, spec, expected, done)
        }
    }

    private fun stored(record: InstanceRecord) = GatewayInstance(
        dataCentre = record.dataCentre,
        callers = textOf(record.callers),
        peers = textOf(record.peers),
        startedAt = record.startedAt,
        settled = record.settled.sorted(),
        linkMbps = record.linkMbps,
    )

    private companion object {
        const val WRITE_PAUSE_MS = 300L

        /** Changes of the own record within this time are written together, in milliseconds. */
        const val GATHER_MS = 1_500L
    }
}

/** Returns what matters of an instance's record to other instances, or null when it can't be read. */
internal fun membershipOf(item: StoredObject): InstanceRecord? = item.spec?.let { recordOrNull(item.name, it) }?.copy(settled = emptySet())

private fun recordOrNull(
    name: String,
    spec: String,
): InstanceRecord? = try {
    val stored = recordJson.decodeFromString(GatewayInstance.serializer(), spec)
    InstanceRecord(
        name,
        stored.dataCentre,
        addressOf(stored.callers),
        addressOf(stored.peers),
        stored.startedAt,
        stored.settled.toSet(),
        stored.linkMbps ?: 0,
    )
} catch (e: IllegalArgumentException) {
    log.event(Level.DEBUG, "record-malformed", "name" to name) { e.message ?: "malformed" }
    null
}

/** Returns [address] as `ip:port`. */
fun textOf(address: InetSocketAddress): String = "${address.address.hostAddress}:${address.port}"

/** Reads `ip:port`; throws [IllegalArgumentException] for anything else, so that no name is looked up. */
fun addressOf(text: String): InetSocketAddress {
    val colon = text.lastIndexOf(':')
    val parts = text.take(maxOf(colon, 0)).split('.').map { it.toIntOrNull() ?: -1 }
    val port = text.substring(colon + 1).toIntOrNull() ?: -1
    require(parts.size == IPV4_PARTS && parts.all { it in 0..MAX_BYTE } && port in 1..MAX_PORT) { "not an address: $text" }
    return InetSocketAddress(java.net.InetAddress.getByAddress(ByteArray(IPV4_PARTS) { parts[it].toByte() }), port)
}

private const val IPV4_PARTS = 4
private const val MAX_BYTE = 255
private const val MAX_PORT = 65_535
