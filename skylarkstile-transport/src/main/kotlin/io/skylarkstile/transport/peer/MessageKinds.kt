/*
 * Kinds of messages between instances. Each kind has the name of its schema.
 */
package io.skylarkstile.transport.peer

import io.skylarkstile.schema.generated.CallError
import io.skylarkstile.schema.generated.ConsentReply
import io.skylarkstile.schema.generated.ConsentRequest
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchCancel
import io.skylarkstile.schema.generated.DispatchChunk
import io.skylarkstile.schema.generated.DispatchCredit
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.DispatchHead
import io.skylarkstile.schema.generated.Heartbeat
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.LedgerCall
import io.skylarkstile.schema.generated.LoadAsk
import io.skylarkstile.schema.generated.LoadDone
import io.skylarkstile.schema.generated.LoadGrant
import io.skylarkstile.schema.generated.Ping
import io.skylarkstile.schema.generated.QuotaAsk
import io.skylarkstile.schema.generated.QuotaGrant
import io.skylarkstile.schema.generated.QuotaSettle
import io.skylarkstile.schema.generated.Release
import io.skylarkstile.schema.generated.ReleaseReply
import io.skylarkstile.schema.generated.RosterAsk
import io.skylarkstile.schema.generated.RosterReply
import io.skylarkstile.schema.generated.SnapshotPull
import io.skylarkstile.schema.generated.SnapshotPush
import io.skylarkstile.schema.generated.TargetState
import io.skylarkstile.schema.generated.Vouch

/** Lists one [MessageKind] for each message of the schema. */
object MessageKinds {
    val ping = MessageKind("Ping", Ping.serializer())
    val callError = MessageKind("CallError", CallError.serializer())
    val heartbeat = MessageKind("Heartbeat", Heartbeat.serializer())
    val vouch = MessageKind("Vouch", Vouch.serializer())
    val consentRequest = MessageKind("ConsentRequest", ConsentRequest.serializer())
    val consentReply = MessageKind("ConsentReply", ConsentReply.serializer())
    val rosterAsk = MessageKind("RosterAsk", RosterAsk.serializer())
    val rosterReply = MessageKind("RosterReply", RosterReply.serializer())
    val release = MessageKind("Release", Release.serializer())
    val releaseReply = MessageKind("ReleaseReply", ReleaseReply.serializer())
    val snapshotPull = MessageKind("SnapshotPull", SnapshotPull.serializer())
    val snapshotPush = MessageKind("SnapshotPush", SnapshotPush.serializer())
    val quotaAsk = MessageKind("QuotaAsk", QuotaAsk.serializer())
    val quotaGrant = MessageKind("QuotaGrant", QuotaGrant.serializer())
    val quotaSettle = MessageKind("QuotaSettle", QuotaSettle.serializer())
    val loadAsk = MessageKind("LoadAsk", LoadAsk.serializer())
    val loadGrant = MessageKind("LoadGrant", LoadGrant.serializer())
    val loadDone = MessageKind("LoadDone", LoadDone.serializer())
    val targetState = MessageKind("TargetState", TargetState.serializer())
    val dispatch = MessageKind("Dispatch", Dispatch.serializer())
    val dispatchHead = MessageKind("DispatchHead", DispatchHead.serializer())
    val dispatchChunk = MessageKind("DispatchChunk", DispatchChunk.serializer())
    val dispatchCredit = MessageKind("DispatchCredit", DispatchCredit.serializer())
    val dispatchEnd = MessageKind("DispatchEnd", DispatchEnd.serializer())
    val dispatchCancel = MessageKind("DispatchCancel", DispatchCancel.serializer())
    val ledgerCall = MessageKind("LedgerCall", LedgerCall.serializer())
    val ledgerAnswer = MessageKind("LedgerAnswer", LedgerAnswer.serializer())

    /** Names of the kinds of calls that this release handles; a call of any other kind closes its link. */
    internal val calls: Set<String> =
        setOf(
            heartbeat,
            consentRequest,
            rosterAsk,
            release,
            snapshotPull,
            quotaAsk,
            loadAsk,
            ledgerCall,
        ).mapTo(HashSet()) { it.name }

    /**
     * Names of the kinds that are sent before queued bulk frames of a link: they are small, and leases or waiting requests depend on
     * them.
     */
    internal val urgent: Set<String> =
        setOf(ping, heartbeat, vouch, consentRequest, consentReply, quotaAsk, quotaGrant, dispatchCredit, dispatchCancel)
            .mapTo(HashSet()) { it.name }
}
