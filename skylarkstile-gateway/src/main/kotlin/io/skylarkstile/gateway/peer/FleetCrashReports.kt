/*
 * Finds the shared prompt parts that crash targets, over all instances. Each instance reports the crashes that it sees to a few instances
 * that count them; these tell all instances what they have decided. Without crashes nothing is sent.
 */
package io.skylarkstile.gateway.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.cluster.stableHash
import io.skylarkstile.gateway.crash.BlockedParts
import io.skylarkstile.gateway.crash.CrashDetector
import io.skylarkstile.gateway.crash.CrashTally
import io.skylarkstile.gateway.crash.EVIDENCE_WINDOW_MS
import io.skylarkstile.gateway.crash.ObservedCrash
import io.skylarkstile.gateway.crash.REPORT_WAIT_MS
import io.skylarkstile.gateway.crash.ReachabilityCheck
import io.skylarkstile.gateway.crash.SuccessHistory
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.relay.CrashGuard
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.CrashReport
import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.generated.PartSuccesses
import io.skylarkstile.schema.generated.PartVerdict
import io.skylarkstile.schema.generated.PartVerdicts
import io.skylarkstile.schema.generated.TargetCrash
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Number of instances that count crashes, so that the loss of two of them at once leaves one. */
private const val COUNTING_INSTANCES = 3

/** Changes within this time are sent in one message, in milliseconds. */
private const val COALESCE_MS = 5L
private const val SUCCESS_COALESCE_MS = 50L

/** A changed message is sent this often, at this interval in milliseconds, because datagrams may be lost. */
private const val SENDS_PER_CHANGE = 3
private const val RESEND_MS = 150L

/** Maximum numbers of parts in a report and of verdicts in a message, which fit into a datagram. Callers choose how many parts there are. */
private const val MAX_REPORTED_PARTS = 384
private const val MAX_VERDICTS = 256

/** Intervals at which suspicions and blocks are announced again, in milliseconds: an instance that stood still has missed them. */
private const val SUSPICION_INTERVAL_MS = 1_000L
private const val BLOCK_INTERVAL_MS = 2_000L

/** Sends a message [SENDS_PER_CHANGE] times after a change; a change meanwhile begins anew. */
private class RepeatedSend(
    private val scheduler: Scheduler,
    private val send: () -> Unit,
) {
    private var remaining = 0
    private var isScheduled = false

    fun changed(
        delayMs: Long = COALESCE_MS,
        sends: Int = SENDS_PER_CHANGE,
    ) {
        remaining = maxOf(remaining, sends)
        schedule(delayMs)
    }

    private fun schedule(delayMs: Long) {
        if (isScheduled) return
        isScheduled = true
        scheduler.after(delayMs) {
            isScheduled = false
            remaining--
            send()
            if (remaining > 0) schedule(RESEND_MS)
        }
    }
}

/** Reports and counts crashes of [targets] for the instance [self]. Not thread-safe. */
internal class FleetCrashReports(
    private val self: InstanceRecord,
    private val scheduler: Scheduler,
    private val targets: TargetTable,
    reachability: ReachabilityCheck,
    private val send: (GatewayDatagram, Collection<InetSocketAddress>) -> Unit,
) : CrashGuard {
    private val detector = CrashDetector(scheduler, targets, reachability) { reports.changed() }
    private val history = SuccessHistory()
    private val blocked = BlockedParts()
    private val tally = CrashTally()
    private val reports: RepeatedSend = RepeatedSend(scheduler, ::sendReport)
    private val announcements: RepeatedSend = RepeatedSend(scheduler, ::announce)
    private var instanceSet = InstanceSet.EMPTY
    private var counting = emptyList<InstanceRecord>()
    private var reportNumber = 0L
    private var announced = emptyMap<String, Pair<PartVerdict.State, Int>>()
    private var announcedAt = Long.MIN_VALUE / 2
    private var isDecisionScheduled = false
    private val isCounting: Boolean get() = counting.any { it.name == self.name }

    /** Applies a new set of instances. */
    fun apply(set: InstanceSet) {
        val now = scheduler.now()
        val wasCounting = isCounting
        val added = set.members.values.filter { it.name !in instanceSet.members && it.name != self.name }
        val before = counting.map { it.name }
        instanceSet = set
        counting = countingInstances(set)
        tally.retain(set.members.keys)
        if (isCounting && !wasCounting) blocked.verdicts(now).forEach { tally.receive(it, now) }
        if (counting.map { it.name } != before && detector.crashes(now).isNotEmpty()) reports.changed()
        val verdicts = if (isCounting) decideVerdicts(now) else emptyList()
        if (verdicts.isNotEmpty()) send(GatewayDatagram(self.name, partVerdicts = PartVerdicts(verdicts)), added.map { it.peers })
    }

    /** Chooses the instances that count, in different data centres as far as there are several. */
    private fun countingInstances(set: InstanceSet): List<InstanceRecord> {
        val ranked = set.members.values.sortedWith(compareBy({ stableHash("crashes|${it.name}") }, { it.name }))
        val firstOfDataCentres = ranked.distinctBy { it.dataCentre }
        return (firstOfDataCentres + (ranked - firstOfDataCentres.toSet())).take(COUNTING_INSTANCES)
    }

    override fun blockedUntilOrNull(
        parts: List<String>,
        now: Long,
    ): Long? = blocked.blockedUntilOrNull(parts, now, counting.firstOrNull()?.name == self.name)

    override fun isSuspected(
        parts: List<String>,
        now: Long,
    ): Boolean = blocked.isSuspected(parts, now)

    override fun callSent(
        parts: List<String>,
        now: Long,
    ) = blocked.callSent(parts, now)

    override fun callLost(
        target: TargetState,
        parts: List<String>,
        respondedAt: Long?,
        now: Long,
    ) = detector.callLost(target, parts, respondedAt, now)

    override fun callServed(
        parts: List<String>,
        now: Long,
    ) {
        history.record(parts, now)
        if (blocked.callServed(parts, now)) reports.changed(SUCCESS_COALESCE_MS, sends = 1)
    }

    /** Returns the number of parts whose calls are refused. */
    fun blockedParts(): Int = blocked.verdicts(scheduler.now()).size

    /** Repeats what counting instances announce. Called regularly. */
    fun tick(now: Long) {
        blocked.removeExpired(now)
        if (!isCounting) return
        decide()
        val interval = if (announced.values.any { it.first == PartVerdict.State.Suspected }) SUSPICION_INTERVAL_MS else BLOCK_INTERVAL_MS
        if (announced.isNotEmpty() && now - announcedAt >= interval) announce()
    }

    /** Handles a received datagram. */
    fun receive(datagram: GatewayDatagram) {
        if (datagram.sender == self.name || datagram.sender !in instanceSet.members) return
        val now = scheduler.now()
        datagram.crashReport?.let { if (isCounting) count(datagram.sender, it, now) }
        datagram.partVerdicts?.verdicts?.forEach { apply(it, datagram.sender, now) }
    }

    private fun sendReport() {
        val now = scheduler.now()
        val crashes = reportedCrashes(now)
        val since = LinkedHashMap(blocked.partsInQuestion(now))
        crashes.forEach { crash -> crash.parts.forEach { since.merge(it, crash.at, ::minOf) } }
        val report =
            CrashReport(
                startedAt = self.startedAt,
                number = ++reportNumber,
                crashes = crashes.map { TargetCrash(it.target, now - it.at, it.parts.toList()) },
                successes = since.mapNotNull { (part, at) -> successesOrNull(part, at) }.take(MAX_REPORTED_PARTS),
                passedTrials = blocked.passedTrials(now),
            )
        if (isCounting) count(self.name, report, now)
        send(GatewayDatagram(self.name, crashReport = report), counting.filter { it.name != self.name }.map { it.peers })
    }

    /** Returns the latest crashes, as far as their parts fit into one report. */
    private fun reportedCrashes(now: Long): List<ObservedCrash> {
        var parts = 0
        return detector.crashes(now).sortedByDescending { it.at }.takeWhile { crash ->
            parts += crash.parts.size
            parts <= MAX_REPORTED_PARTS
        }
    }

    private fun successesOrNull(
        part: String,
        since: Long,
    ): PartSuccesses? {
        val calls = history.countSince(part, since)
        val priorCalls = history.countSince(part, since - EVIDENCE_WINDOW_MS) - calls
        return if (calls + priorCalls > 0) PartSuccesses(part, calls, priorCalls) else null
    }

    private fun count(
        sender: String,
        report: CrashReport,
        now: Long,
    ) {
        tally.receive(sender, report, now)
        decide()
        if (isDecisionScheduled) return
        isDecisionScheduled = true
        scheduler.after(REPORT_WAIT_MS) {
            isDecisionScheduled = false
            decide()
        }
    }

    private fun decide() {
        val now = scheduler.now()
        val verdicts = decideVerdicts(now)
        val decided = verdicts.associate { it.part to (it.state to it.crashes) }
        if (decided == announced) return
        announced = decided
        verdicts.forEach { apply(it, self.name, now) }
        announcements.changed()
    }

    /** Returns what is to be announced, blocked parts first. */
    private fun decideVerdicts(now: Long): List<PartVerdict> {
        val verdicts = tally.decide(now, targets.all.size)
        if (verdicts.size <= MAX_VERDICTS) return verdicts
        return verdicts.sortedWith(compareBy({ it.state != PartVerdict.State.Blocked }, { -it.crashes })).take(MAX_VERDICTS)
    }

    private fun announce() {
        val now = scheduler.now()
        announcedAt = now
        val verdicts = decideVerdicts(now)
        if (verdicts.isEmpty()) return
        val others = instanceSet.members.values.filter { it.name != self.name }
        send(GatewayDatagram(self.name, partVerdicts = PartVerdicts(verdicts)), others.map { it.peers })
    }

    private fun apply(
        verdict: PartVerdict,
        sender: String,
        now: Long,
    ) {
        val wasInQuestion = blocked.isSuspected(listOf(verdict.part), now)
        val isChanged = blocked.apply(verdict, now)
        if (isCounting && sender != self.name) tally.receive(verdict, now)
        if (isChanged) logChange(verdict, sender)
        val isSuspected = verdict.state == PartVerdict.State.Suspected
        if (isSuspected && !wasInQuestion && successesOrNull(verdict.part, now - verdict.sinceMs) != null) reports.changed()
    }

    private fun logChange(
        verdict: PartVerdict,
        sender: String,
    ) {
        if (verdict.state == PartVerdict.State.Blocked) {
            log.event(
                Level.WARN,
                "part-blocked",
                "sharedPart" to verdict.part,
                "crashes" to verdict.crashes,
                "blockedMs" to verdict.blockedMs,
                "instance" to sender,
            ) { "calls with a prompt part that crashes targets are refused" }
        } else {
            log.event(
                Level.WARN,
                "part-released",
                "sharedPart" to verdict.part,
                "crashes" to verdict.crashes,
                "instance" to sender,
            ) { "calls with a prompt part are sent again" }
        }
    }
}
