/*
 * Calls of the membership to the platform and to peers, with their outcomes in the terms of the core.
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

/** A value of the platform with its version; 0 when there is none. */
internal data class Versioned<T>(
    val value: T?,
    val version: Long,
)

/** Reads and writes the roster and lease objects. */
internal class MembershipStore(
    private val network: PeerNetwork,
    private val store: ObjectStore,
    private val timeoutMs: Long,
) {
    @Volatile
    var isPlatformReachable: Boolean = false
        private set

    private fun <T> recordReachability(result: Result<T, StoreError>): Result<T, StoreError> = result
        .onSuccess { isPlatformReachable = true }
        .onFailure {
            if (it is StoreError.Unavailable) {
                isPlatformReachable = false
            } else {
                isPlatformReachable =
                    isPlatformReachable ||
                    it is StoreError.Conflict
            }
        }

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
                ) { "object $kind/$name cannot be read: ${e.message}" }
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

    /** Asks [peers] in turn for a roster newer than [knownRevision]. */
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
