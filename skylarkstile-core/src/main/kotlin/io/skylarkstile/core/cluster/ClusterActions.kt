/*
 * Calls to peers and to the platform that the membership protocol requests. The caller carries them out and passes the results to the
 * `on...` functions of [ClusterCore].
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.ConsentRequest
import io.skylarkstile.schema.generated.LeaseRecord
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster

/** Describes one call to a peer or to the platform. */
sealed interface ClusterAction {
    /** Reads `roster/main`; when the platform is unreachable, asks [peer] for its roster instead. */
    data class ReadRoster(
        val peer: String?,
    ) : ClusterAction

    /** Replaces `roster/main` by [roster] on condition that its version is still [ifVersion]. */
    data class WriteRoster(
        val roster: Roster,
        val ifVersion: Long,
    ) : ClusterAction

    /** Reads the lease object of this instance. */
    data object ReadOwnLease : ClusterAction

    /** Renews the lease object of this instance on condition that its version is still [ifVersion]. */
    data class WriteOwnLease(
        val record: LeaseRecord,
        val ifVersion: Long,
    ) : ClusterAction

    /** Reads the lease object of a suspected [member]. */
    data class ReadLease(
        val member: Member,
    ) : ClusterAction

    /** Writes a fence to the lease object of a suspected [member], which forbids it to renew its lease there. */
    data class Fence(
        val member: Member,
        val record: LeaseRecord,
        val ifVersion: Long,
    ) : ClusterAction

    /** Asks instance [to] for its consent to the removal of [member]. */
    data class AskConsent(
        val to: String,
        val member: Member,
        val request: ConsentRequest,
    ) : ClusterAction
}

/** Tells how a conditional write ended. */
sealed interface WriteOutcome {
    data class Written(
        val version: Long,
    ) : WriteOutcome

    /** The object has another version; nothing was written. */
    data object Conflict : WriteOutcome

    /** The write may or may not have taken effect. */
    data object Unknown : WriteOutcome
}
