/*
 * Holds the settings, clocks and collaborators that the ledger ranges of one instance share.
 */
package io.skylarkstile.entry.ledger

import io.skylarkstile.core.cluster.ClusterView
import io.skylarkstile.core.cluster.Ownership
import io.skylarkstile.core.cluster.ledgerResource
import io.skylarkstile.core.ledger.LedgerLimits
import io.skylarkstile.schema.generated.LedgerSettings
import io.skylarkstile.transport.platform.ObjectStore

/** Settings of the ledger. [sendMarginMs] is the minimum remaining lease for sending a call, in milliseconds. */
data class LedgerPartSettings(
    val ledger: LedgerSettings,
    val sendMarginMs: Long,
)

/** Provides what the ranges share. [clock] returns monotonic milliseconds and [wallClock] milliseconds since the epoch. */
internal class LedgerEnv(
    private val cluster: ClusterView,
    val store: ObjectStore,
    val caller: ServiceCaller,
    private val settings: LedgerPartSettings,
    val clock: () -> Long,
    val wallClock: () -> Long,
) {
    val self: String get() = cluster.self
    val ranges: Int get() = settings.ledger.ranges
    val limits =
        LedgerLimits(
            commitIntervalMs = settings.ledger.commitIntervalMs.toLong(),
            segmentEntries = settings.ledger.segmentEntries,
            retentionMs = settings.ledger.retentionMs,
        )

    fun ownership(range: Int): Ownership = cluster.ownership(ledgerResource(range), clock())

    /** Returns whether a call of [range] may be sent: this instance owns it in [epoch] and the lease remains valid for the send margin. */
    fun mayAct(
        range: Int,
        epoch: Long,
    ): Boolean {
        val held = ownership(range) as? Ownership.Held
        return held?.epoch == epoch && cluster.leaseRemaining(clock()) >= settings.sendMarginMs
    }
}
