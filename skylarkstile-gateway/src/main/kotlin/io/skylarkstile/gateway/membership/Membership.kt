/*
 * Registers this instance in the store and tracks the set of all registered instances.
 */
package io.skylarkstile.gateway.membership

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.store.SharedStore
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.store.StoreListener
import io.skylarkstile.gateway.store.StorePage
import io.skylarkstile.gateway.store.StoreResult
import io.skylarkstile.gateway.store.StoredObject
import io.skylarkstile.schema.generated.GatewayInstance
import io.skylarkstile.schema.recordJson
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Maintains the record of the instance described by [self] and tracks the instance set. Not thread-safe. */
class Membership(
    private val self: InstanceRecord,
    private val store: SharedStore,
    private val scheduler: Scheduler,
    private val lease: OrderLease,
    private val targetIds: () -> Collection<String>,
    presence: PeerContacts,
    liveness: LivenessCheck,
    private val onChange: (InstanceSet) -> Unit,
    private val relist: () -> Unit = {},
) : StoreListener {
    private val known = HashMap<String, KnownInstance>()
    private val lostInstances = FailureDetector(store, scheduler, presence, liveness, relist)
    private var isListed = false
    private var isWriting = false
    private var isStopped = false
    private var nextWriteAt = 0L

    /** The instances that are registered in the store. */
    var instanceSet = InstanceSet.EMPTY
        private set

    override fun onListed(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        if (isListed) lease.missedChanges(now)
        val previous = known.toMap()
        known.clear()
        page.objects.forEach { put(it, now, previous[it.name]) }
        apply(page.revision, if (isListed) emptySet() else known[self.name]?.record?.settled.orEmpty(), now)
        isListed = true
    }

    override fun onChanged(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        if (page.objects.all { it.spec != null }) {
            page.objects.forEach { put(it, now, known[it.name]) }
            return apply(page.revision, emptySet(), now)
        }
        // Applied one by one: an instance that joined and left between two reads may have given orders.
        page.objects.forEach { item ->
            if (item.spec != null) {
                put(item, now, known[item.name])
            } else if (known.remove(item.name) == null) {
                lease.missedChanges(now)
            }
            apply(page.revision, emptySet(), now)
        }
    }

    override fun onConfirmed(
        at: Long,
        requestedAt: Long,
        revision: Long,
    ) = lease.confirm(at, revision, requestedAt)

    /** Writes this instance's record if it is missing or outdated, and removes failed instances. Called periodically. */
    fun maintain() {
        val now = scheduler.now()
        if (!isListed || isStopped) return
        lostInstances.removeFailed(known.filterKeys { it != self.name }, now)
        if (isWriting || now < nextWriteAt) return
        val own = known[self.name]
        val settled = lease.orderableTargetsOrNull(now)
        when {
            own == null -> write(self, null, now)
            own.record.startedAt != self.startedAt || (settled != null && settledChanged(own.record.settled, settled)) ->
                write(self.copy(settled = settled ?: own.record.settled), own.revision, now)
        }
    }

    /** Removed targets may stay in the record, because no instance can become their holder. */
    private fun settledChanged(
        recorded: Set<String>,
        settled: Set<String>,
    ): Boolean = settled.any { it !in recorded } || targetIds().any { it in recorded && it !in settled }

    /** Stops writing. The record stays for the next process of this instance, or until the others remove it as failed. */
    fun stop() {
        isStopped = true
    }

    private fun apply(
        revision: Long,
        resumed: Set<String>,
        now: Long,
    ) {
        val changed = set(known)
        if (changed.members.keys == instanceSet.members.keys && isListed) {
            instanceSet = changed
            return onChange(instanceSet)
        }
        log.event(
            Level.INFO,
            "instances-changed",
            "revision" to revision,
            "resumed" to resumed.size,
            "instances" to changed.members.size,
            "joined" to (changed.members.keys - instanceSet.members.keys).sorted(),
            "left" to (instanceSet.members.keys - changed.members.keys).sorted(),
        ) { "the instance set has changed" }
        instanceSet = changed
        lease.apply(instanceSet, targetIds(), revision, resumed, now)
        onChange(instanceSet)
    }

    private fun set(known: Map<String, KnownInstance>) = InstanceSet(known.mapValues { it.value.record })

    private fun put(
        item: StoredObject,
        now: Long,
        previous: KnownInstance?,
    ) {
        // A change passed on by another instance may be older than the result of this instance's own write.
        if (previous != null && previous.revision > item.revision) return
        val record = item.spec?.let { recordOrNull(item.name, it) }
        if (record == null) {
            log.event(Level.WARN, "record-unreadable", "name" to item.name) { "ignoring the unreadable record of instance ${item.name}" }
            return
        }
        known[item.name] = KnownInstance(record, item.revision, previous?.seenAt ?: now)
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
            nextWriteAt = scheduler.now() + if (result is StoreResult.Success) MIN_WRITE_INTERVAL_MS else WRITE_RETRY_MS
            when (result) {
                is StoreResult.Success -> known[self.name] = KnownInstance(record, result.value.revision, now)
                else -> {
                    log.event(Level.WARN, "own-record-not-written", "result" to "$result") { "failed to write this instance's record" }
                    if (result == StoreResult.Conflict) relist()
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
        callers = formatAddress(record.callers),
        peers = formatAddress(record.peers),
        startedAt = record.startedAt,
        settled = record.settled.sorted(),
        linkMbps = record.linkMbps,
    )

    private companion object {
        /** Delay before a failed write is tried again, in milliseconds. */
        const val WRITE_RETRY_MS = 300L

        /** Minimum interval between writes of this instance's record, in milliseconds; changes in between are written together. */
        const val MIN_WRITE_INTERVAL_MS = 1_500L
    }
}

/** Returns the fields of an instance's record that concern other instances, or null if the record is missing or unreadable. */
internal fun peerRecordOrNull(item: StoredObject): InstanceRecord? =
    item.spec?.let { recordOrNull(item.name, it) }?.copy(settled = emptySet())

private fun recordOrNull(
    name: String,
    spec: String,
): InstanceRecord? = try {
    val stored = recordJson.decodeFromString(GatewayInstance.serializer(), spec)
    InstanceRecord(
        name,
        stored.dataCentre,
        parseAddress(stored.callers),
        parseAddress(stored.peers),
        stored.startedAt,
        stored.settled.toSet(),
        stored.linkMbps ?: 0,
    )
} catch (e: IllegalArgumentException) {
    log.event(Level.DEBUG, "record-malformed", "name" to name) { e.message ?: "malformed instance record" }
    null
}

/** Returns [address] as `ip:port`. */
fun formatAddress(address: InetSocketAddress): String = "${address.address.hostAddress}:${address.port}"

/** Parses `ip:port`; throws [IllegalArgumentException] for anything else, so that no host name is looked up. */
fun parseAddress(text: String): InetSocketAddress {
    val colon = text.lastIndexOf(':')
    val parts = text.take(maxOf(colon, 0)).split('.').map { it.toIntOrNull() ?: -1 }
    val port = text.substring(colon + 1).toIntOrNull() ?: -1
    require(parts.size == IPV4_PARTS && parts.all { it in 0..MAX_BYTE } && port in 1..MAX_PORT) { "not an ip:port address: $text" }
    return InetSocketAddress(java.net.InetAddress.getByAddress(ByteArray(IPV4_PARTS) { parts[it].toByte() }), port)
}

private const val IPV4_PARTS = 4
private const val MAX_BYTE = 255
private const val MAX_PORT = 65_535
