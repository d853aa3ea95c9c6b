/*
 * Permits for calls to targets that have named a limit for all instances together. The instance that gives orders to a target also grants
 * the calls to it, so that the sum of many instances stays within the limit although the share of one would be less than a call. A request
 * costs a datagram each way; after a refusal, no calls are sent to the target for a while.
 */
package io.skylarkstile.gateway.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.model.NamedLimit
import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.gateway.relay.CallPermits
import io.skylarkstile.gateway.target.CallGrant
import io.skylarkstile.gateway.target.CallSchedule
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.gateway.target.lowestOrNull
import io.skylarkstile.gateway.target.shareSchedule
import io.skylarkstile.schema.generated.CallPermitAsk
import io.skylarkstile.schema.generated.CallPermitGrant
import io.skylarkstile.schema.generated.GatewayDatagram
import io.skylarkstile.schema.generated.TargetLimit
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** A limit that changes by less than this factor is not announced, since requests for permits contain it anyway. */
private const val ANNOUNCED_CHANGE_FACTOR = 1.25

private val SUCCESS_STATUSES = 200..299

/** Requests permits for calls to [targets], and grants those for the targets whose orders [self] gives. Not thread-safe. */
internal class FleetCallPermits(
    private val self: InstanceRecord,
    private val scheduler: Scheduler,
    private val targets: TargetTable,
    private val send: (GatewayDatagram, Collection<InetSocketAddress>) -> Unit,
) : CallPermits {
    private val requests = PeerRequests<CallPermitGrant>(scheduler, send)
    private val answers = RememberedAnswers<CallPermitGrant>()
    private val schedules = HashMap<String, CallSchedule>()

    /** Schedules with this instance's share of a limit, for targets whose granting instance doesn't answer. */
    private val shareSchedules = HashMap<String, CallSchedule>()
    private var instanceSet = InstanceSet.EMPTY

    /** Applies a new set of instances. */
    fun apply(set: InstanceSet) {
        instanceSet = set
        requests.clearAvoided()
        schedules.keys.removeIf { targets[it] == null }
        shareSchedules.keys.removeIf { targets[it] == null }
    }

    private fun grantingInstanceOrNull(target: String): InstanceRecord? =
        instanceSet.orderHolderOrNull(target)?.let(instanceSet.members::get)

    private fun isGrantedHere(target: String): Boolean = instanceSet.orderHolderOrNull(target) == self.name

    override fun responseReceived(
        target: TargetState,
        head: ResponseHead,
        sentAt: Long,
    ) {
        // A failure or a refusal may be sent by a part of the target that knows nothing of its limit.
        if (head.namedLimit == NamedLimit.None && (!head.isSigned || head.status !in SUCCESS_STATUSES)) return
        val now = scheduler.now()
        val before = target.callLimit.callsPerSecond
        if (!target.callLimit.observe(now, sentAt, head.namedLimit) || !isWorthAnnouncing(before, target)) return
        limitChanged(target, before, self.name)
        val granting = grantingInstanceOrNull(target.id)?.takeIf { it.name != self.name } ?: return
        send(GatewayDatagram(sender = self.name, targetLimit = limitOf(target, now)), listOf(granting.peers))
    }

    private fun isWorthAnnouncing(
        before: Double?,
        target: TargetState,
    ): Boolean {
        val after = target.callLimit.callsPerSecond
        if (before == null || after == null) return before != after
        return maxOf(before, after) >= ANNOUNCED_CHANGE_FACTOR * minOf(before, after)
    }

    /** Logs a changed limit, and announces a new one to all instances if this one grants the calls to [target]. */
    private fun limitChanged(
        target: TargetState,
        before: Double?,
        source: String,
    ) {
        val after = target.callLimit.callsPerSecond
        log.event(Level.INFO, "target-limit", "target" to target.id, "callsPerSecond" to after, "instance" to source) {
            "target has changed the limit of calls that it accepts from all instances"
        }
        if (before != null || after == null || !isGrantedHere(target.id)) return
        val others = instanceSet.members.values.filter { it.name != self.name }
        send(GatewayDatagram(sender = self.name, targetLimit = limitOf(target, scheduler.now())), others.map { it.peers })
    }

    private fun limitOf(
        target: TargetState,
        now: Long,
    ) = TargetLimit(
        target.id,
        target.callLimit.ageMs(now),
        target.callLimit.callsPerSecond,
        target.callLimit.cold.callsPerSecondOrNull(now),
    )

    /** Handles what [sender] says of the limit of a target. */
    fun receive(
        limit: TargetLimit,
        sender: String,
        now: Long,
    ) {
        val target = targets[limit.target] ?: return
        val before = target.callLimit.callsPerSecond
        if (target.callLimit.merge(limit.callsPerSecond, now - limit.ageMs) && isWorthAnnouncing(before, target)) {
            limitChanged(target, before, sender)
        }
    }

    override fun request(
        target: TargetState,
        maxWaitMs: Long,
        done: (CallGrant) -> Unit,
    ) {
        val now = scheduler.now()
        val limit = limitOf(target, now)
        val granting = grantingInstanceOrNull(target.id)
        when {
            granting == null || requests.isAvoided(granting.name, now) -> {
                decide(target, scheduleShare(target, maxWaitMs, now), now, done)
            }

            granting.name == self.name -> {
                decide(target, schedule(limit, maxWaitMs, now), now, done)
            }

            else -> {
                val datagramOf = { number: Long ->
                    GatewayDatagram(self.name, permitAsk = CallPermitAsk(self.startedAt, number, maxWaitMs, limit))
                }
                requests.request(granting, now, datagramOf) { answer, at ->
                    decide(target, grantOf(answer, granting.name, target, maxWaitMs, at), at, done)
                }
            }
        }
    }

    private fun grantOf(
        answer: CallPermitGrant?,
        sender: String,
        target: TargetState,
        maxWaitMs: Long,
        now: Long,
    ): CallGrant {
        if (answer == null) return scheduleShare(target, maxWaitMs, now)
        shareSchedules.remove(target.id)
        receive(answer.limit, sender, now)
        return CallGrant(answer.isGranted, answer.waitMs)
    }

    private fun decide(
        target: TargetState,
        grant: CallGrant,
        now: Long,
        done: (CallGrant) -> Unit,
    ) {
        if (!grant.isGranted) target.callLimit.block(now + grant.waitMs)
        done(grant)
    }

    private fun scheduleShare(
        target: TargetState,
        maxWaitMs: Long,
        now: Long,
    ): CallGrant {
        val callsPerSecond = target.callLimit.rateOrNull(now) ?: return UNLIMITED
        val share = callsPerSecond / maxOf(1, instanceSet.members.size)
        return shareSchedules.getOrPut(target.id) { shareSchedule(self.name, target.id, now) }.schedule(now, maxWaitMs, share)
    }

    private fun schedule(
        limit: TargetLimit,
        maxWaitMs: Long,
        now: Long,
    ): CallGrant {
        val callsPerSecond = lowestOrNull(limit.callsPerSecond, limit.coldCallsPerSecond) ?: return UNLIMITED
        return schedules.getOrPut(limit.target) { CallSchedule(now) }.schedule(now, maxWaitMs, callsPerSecond)
    }

    /** Answers a request of [sender]; a repeated request gets the same answer as before. */
    fun receive(
        ask: CallPermitAsk,
        sender: InstanceRecord,
        now: Long,
    ) {
        receive(ask.limit, sender.name, now)
        val answer = answers.getOrDecide(RequestId(sender.name, ask.startedAt, ask.number)) { answer(ask, now) } ?: return
        send(GatewayDatagram(sender = self.name, permitGrant = answer), listOf(sender.peers))
    }

    private fun answer(
        ask: CallPermitAsk,
        now: Long,
    ): CallPermitGrant {
        // A target that this instance doesn't know yet is granted by what the sender knows.
        val known = targets[ask.limit.target]?.let { limitOf(it, now) } ?: ask.limit
        // The sender may know sooner that the target is cold. Nothing is lost if it is wrong: the target is cold for seconds only.
        val limit = known.copy(coldCallsPerSecond = lowestOrNull(known.coldCallsPerSecond, ask.limit.coldCallsPerSecond))
        val grant = schedule(limit, ask.maxWaitMs, now)
        return CallPermitGrant(ask.startedAt, ask.number, grant.isGranted, grant.waitMs, limit)
    }

    /** Handles the answer of a granting instance. */
    fun receive(
        grant: CallPermitGrant,
        now: Long,
    ) {
        if (grant.startedAt == self.startedAt) requests.receive(grant.number, grant, now)
    }

    private companion object {
        val UNLIMITED = CallGrant(true, 0)
    }
}
