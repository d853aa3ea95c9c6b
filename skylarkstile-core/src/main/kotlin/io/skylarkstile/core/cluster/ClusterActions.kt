/*
 * What the membership logic asks its surroundings to do. Results come back through the functions of [ClusterCore].
 */
package io.skylarkstile.core.cluster

import io.skylarkstile.schema.generated.ConsentRequest
import io.skylarkstile.schema.generated.LeaseRecord
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.schema.generated.Roster

/** One call to a peer or to the platform. */
sealed interface ClusterAction {
    /** Read `roster/main`; ask [peer] for the roster when the platform is unreachable. */
    data class ReadRoster(
        val peer: String?,
    ) : ClusterAction

    /** Replace version [ifVersion] of `roster/main` by [roster]. */
    data class WriteRoster(
        val roster: Roster,
        val ifVersion: Long,
    ) : ClusterAction

    /** Read this instance's own lease object. */
    data object ReadOwnLease : ClusterAction

    /** Renew this instance's own lease object. */
    data class WriteOwnLease(
        val record: LeaseRecord,
        val ifVersion: Long,
    ) : ClusterAction

    /** Read the lease object of a suspected [member]. */
    data class ReadLease(
        val member: Member,
    ) : ClusterAction

    /** Fence the lease object of a suspected [member]. */
    data class Fence(
        val member: Member,
        val record: LeaseRecord,
        val ifVersion: Long,
    ) : ClusterAction

    /** Ask instance [to] for its consent to the removal of [member]. */
    data class AskConsent(
        val to: String,
        val member: Member,
        val request: ConsentRequest,
    ) : ClusterAction
}

/** Outcome of a conditional write. */
sealed interface WriteOutcome {
    data class Written(
        val version: Long,
    ) : WriteOutcome

    data object Conflict : WriteOutcome

    /** The write may have taken effect or not. */
    data object Unknown : WriteOutcome
}
