/*
 * Reads and writes the roster and lease objects of the cluster membership, and translates the outcomes to the types of the core.
 */
package io.skylarkstile.entry.cluster

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.cluster.WriteOutcome
import io.skylarkstile.schema.generated.LeaseRecord
import io.skylarkstile.schema.generated.Roster
import io.skylarkstile.schema.generated.RosterAsk
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.peer.MessageKinds
import io.skylarkstile.transport.peer.PeerNetwork
import io.skylarkstile.transport.platform.ObjectStore
import io.skylarkstile.transport.platform.StoreError
import kotlinx.serialization.KSerializer

private val log = KotlinLogging.logger {}
private const val ROSTER_KIND = "roster"
private const val ROSTER_NAME = "main"
private const val LEASE_KIND = "lease"

/** Holds a decoded platform object and its version; the version is 0 when the object does not exist. */
internal data class Versioned<T>(
    val value: T?,
    val version: Long,
)

/** Accesses the roster and lease objects on the platform, and asks peers for the roster when the platform is unreachable. */
internal class MembershipStore(
    private val network: PeerNetwork,
    private val store: ObjectStore,
    private val timeoutMs: Long,
) {
    @Volatile
    var isReachable: Boolean = false
        private set

    private fun <T> recordReachability(result: Result<T, StoreError>): Result<T, StoreError> = result
        .onSuccess { isReachable = true }
        .onFailure { if (it is StoreError.Unavailable) isReachable = false else isReachable = isReachable || it is StoreError.Conflict }

    private suspend fun <T> read(
        kind: String,
        name: String,
        serializer: KSerializer<T>,
    ): Result<Versioned<T>, StoreError> = recordReachability(store.get(kind, name)).fold(
        { record ->
            try {
                val value = record?.value?.let { recordJson.decodeFromString(serializer, it) }
                Ok(Versioned(value, if (value == null) 0 else record.version))
            } catch (e: IllegalArgumentException) {
                log.event(
                    Level.ERROR,
                    "cluster-object-unreadable",
                    "kind" to kind,
                    "name" to name,
                ) { "object $kind/$name cannot be decoded: ${e.message}" }
                Err(StoreError.Rejected(e.message.orEmpty()))
            }
        },
        { Err(it) },
    )

    private suspend fun <T> write(
        kind: String,
        name: String,
        serializer: KSerializer<T>,
        value: T,
        ifVersion: Long,
    ): WriteOutcome = recordReachability(store.put(kind, name, recordJson.encodeToString(serializer, value), ifVersion)).fold(
        { WriteOutcome.Written(it.version) },
        { if (it is StoreError.Conflict) WriteOutcome.Conflict else WriteOutcome.Unknown },
    )

    suspend fun readRoster() = read(ROSTER_KIND, ROSTER_NAME, Roster.serializer())

    suspend fun writeRoster(
        roster: Roster,
        ifVersion: Long,
    ) = write(ROSTER_KIND, ROSTER_NAME, Roster.serializer(), roster, ifVersion)

    suspend fun readLease(instance: String) = read(LEASE_KIND, instance, LeaseRecord.serializer())

    suspend fun writeLease(
        record: LeaseRecord,
        ifVersion: Long,
    ) = write(LEASE_KIND, record.instance, LeaseRecord.serializer(), record, ifVersion)

    /** Asks [peers] one after the other and returns the first roster newer than [knownRevision], or `null`. */
    suspend fun newerRosterFromPeersOrNull(
        peers: List<String>,
        knownRevision: Long,
    ): Roster? {
        for (peer in peers) {
            val reply =
                network
                    .call(
                        peer,
                        MessageKinds.rosterAsk,
                        RosterAsk(rosterRevision = knownRevision),
                        MessageKinds.rosterReply,
                        timeoutMs,
                    ).get()
            if (reply != null && reply.roster.revision > knownRevision) return reply.roster
        }
        return null
    }
}
