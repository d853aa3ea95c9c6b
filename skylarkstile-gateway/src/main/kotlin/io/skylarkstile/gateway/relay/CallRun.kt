/*
 * Runs one admitted call: sends the request to a target, forwards the response, and retries on another target when the call was not executed
 * or may be executed again.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.admission.Admission
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Dispatch
import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.gateway.target.MAX_LOAD
import io.skylarkstile.gateway.target.TargetState
import kotlin.math.max
import kotlin.math.min

private val log = KotlinLogging.logger {}

/** Remaining time below which a call is refused instead of sent, in milliseconds. */
internal const val MIN_REMAINING_MS = 10L

/** Time before the deadline at which the gateway's own refusal is sent, so that it reaches the caller in time, in milliseconds. */
private const val DEADLINE_MARGIN_MS = 15L

/** Maximum number of targets that a call is sent to, counting those that did not execute it. */
private const val MAX_SENDS = 4

/** Number of targets that may close the connection of a call; it isn't sent again then, because it may be what ends them. */
private const val MAX_LOST_CONNECTIONS = 2

/** Retry-After value when this instance shuts down, in milliseconds; the caller then uses another instance. */
internal const val SHUTDOWN_RETRY_AFTER_MS = 20L

/** Runs one call; all functions are called on the event loop. */
internal class CallRun(
    private val serving: RelayContext,
    private val caller: CallerResponse,
    private val call: CallHead,
    private val body: ByteBuf,
    private val admitted: Admission.Admitted,
    private val service: String,
    private val arrivedAt: Long,
) : ResponseListener {
    private val route = admitted.route
    private val deadlineAt = arrivedAt + min(call.deadlineMs ?: Long.MAX_VALUE, route.timeoutMs)
    private val weight =
        CallWeight(1, if (call.hasTokens) call.promptTokens + call.outputTokens else 0, if (call.hasTokens) call.promptTokens else 0)
    private val relay = ResponseRelay(caller, call, route) { responseStartedAt = serving.scheduler.now() }
    private var sends = 0
    private var possibleExecutions = 0
    private var responseStartedAt: Long? = null
    private var sentAt: Long? = null
    private var isEnded = false
    private var mayHaveExecuted = false
    private var attempt: Attempt? = null
    private var lostConnections = 0
    private val deadlineTimer = serving.scheduler.after(max(0, deadlineAt - DEADLINE_MARGIN_MS - arrivedAt)) { expire() }

    private val search = TargetSearch(serving, call, service, route, arrivedAt, deadlineAt, SearchResult())

    private inner class SearchResult : TargetSearchListener {
        override fun found(
            target: TargetState,
            adapter: AdapterVersion?,
        ) = send(target, adapter)

        override fun notFound(
            reason: String,
            retryAfterMs: Long,
        ) = giveUp(reason, retryAfterMs)

        override fun expired() = expire()
    }

    private class Attempt(
        val target: TargetState,
        val adapter: AdapterVersion?,
        val sentAt: Long,
    ) {
        var connection: TargetConnection? = null
        var watch: ResponseWatch? = null
        var isOver = false
        var isSent = false
        var head: ResponseHead? = null
        var respondedAt: Long? = null

        /** Load that this attempt still adds to its target. */
        var weight = CallWeight.NONE
    }

    /** Starts the call. */
    fun start() {
        val now = serving.scheduler.now()
        serving.begin(this)
        serving.allowance(service).countRequest(now)
        serving.crashGuard.blockedUntilOrNull(call.sharedParts, now)?.let { return giveUp(PART_BLOCKED, it - now) }
        call.adapter?.let { serving.demand.recordCall(serving.currentVersion(it)) }
        search.choose()
    }

    /** Ends the call because its caller has disconnected. */
    fun callerDisconnected() {
        if (isEnded) return
        finish("caller-left")
        endAttempt()
    }

    /** Ends the call because this instance stops; it is refused if no target can have executed it. */
    fun stop() {
        if (!isEnded) giveUp(INSTANCE_STOPS, SHUTDOWN_RETRY_AFTER_MS)
    }

    /** Retries a repeatable call on another target, because [target] doesn't respond. */
    fun targetUnresponsive(target: TargetState) {
        val running = attempt?.takeIf { it.target === target && it.isSent && !it.isOver } ?: return
        if (route.isRepeatable && canRetry()) failed(running, "target stopped responding")
    }

    /** Pauses or resumes reading the response, depending on whether the caller's connection accepts data. */
    fun callerWritable(isWritable: Boolean) {
        if (relay.isForwarding) attempt?.connection?.setReading(isWritable)
    }

    private fun send(
        target: TargetState,
        adapter: AdapterVersion?,
    ) {
        val now = serving.scheduler.now()
        if (isTooLateToSend(now)) return giveUp(INSTANCE_STOPS, SHUTDOWN_RETRY_AFTER_MS)
        if (sends > 0 && (sends >= MAX_SENDS || !serving.allowance(service).tryRetry(now, serving.instanceCount))) {
            return giveUp("retry-allowance-used", OVERLOAD_RETRY_AFTER_MS)
        }
        // Reports the use to the target's holder at once: unloading an adapter that calls still use blocks the target's other orders.
        if (adapter != null && adapter !in target.adapterCalls) serving.demand.requestAdapter(target, adapter)
        val started = Attempt(target, adapter, now)
        attempt = started
        started.weight = weight
        target.addCall(weight, adapter)
        serving.pool.acquire(target) { connection -> connected(started, connection) }
    }

    /** Returns whether this instance stops before a target can be expected to respond; a call that isn't sent can be refused as not run. */
    private fun isTooLateToSend(now: Long): Boolean = serving.callsEndAt?.let { now + route.targetLatencyMs > it } == true

    private fun connected(
        started: Attempt,
        connection: TargetConnection?,
    ) {
        val now = serving.scheduler.now()
        if (started.isOver) {
            connection?.abandon()
            return
        }
        if (connection == null) {
            started.target.health.recordUnreachable(now)
            return retry(started)
        }
        val remaining = deadlineAt - now
        val blockedUntil = serving.crashGuard.blockedUntilOrNull(call.sharedParts, now)
        if (remaining < MIN_REMAINING_MS || blockedUntil != null) {
            connection.onIdle(null)
            return if (blockedUntil == null) expire() else giveUp(PART_BLOCKED, blockedUntil - now)
        }
        // The target may have said something in other responses since it was chosen.
        if (!started.target.acceptsCalls || started.target.availability.isPaused(now)) {
            connection.onIdle(null)
            return retry(started)
        }
        serving.crashGuard.callSent(call.sharedParts, now)
        started.target.availability.callSent(now)
        sentAt = now
        started.connection = connection
        started.isSent = true
        started.target.silence.callSent(now)
        if (started.target.isLimited(now)) serving.metrics.recordLimitedSend()
        sends++
        possibleExecutions++
        mayHaveExecuted = true
        relay.reset()
        val hasEngine =
            serving.configuration
                ?.services
                ?.get(service)
                ?.engine != null
        val dispatch =
            Dispatch(
                targetId = started.target.id,
                workspace = admitted.workspace?.name,
                remainingMs = remaining,
                priority = (admitted.workspace?.priority ?: route.priority).takeIf { hasEngine },
                adapterVersion = started.adapter?.version?.takeIf { call.adapter in serving.adapterVersions },
                lastEventId = relay.lastEventId ?: call.lastEventId,
            )
        val headers = serving.codec.targetHeaders(call, dispatch)
        connection.send(call.id, call.method, call.uri, headers, body.retainedDuplicate(), route.isRepeatable, this)
        started.watch = ResponseWatch(serving.scheduler, connection, route.targetLatencyMs, WatchResult(started)).also { it.start() }
    }

    private inner class WatchResult(
        private val started: Attempt,
    ) : ResponseWatchListener {
        override fun responseMissing(timeoutMs: Long): Boolean {
            val now = serving.scheduler.now()
            started.target.health.recordFailure(now)
            val isRetried = route.isRepeatable && now + timeoutMs <= deadlineAt && canRetry()
            if (isRetried) failed(started, "no response within $timeoutMs ms")
            return !isRetried
        }

        override fun otherResponseIncomplete() = failed(started, "other response incomplete")
    }

    override fun head(
        head: ResponseHead,
        response: HttpResponse,
    ) {
        val running = attempt ?: return
        running.watch?.stop()
        running.target.recordActivity(serving.scheduler.now())
        running.head = head
        running.respondedAt = serving.scheduler.now()
        serving.observeStatements(running.target, head, running.sentAt, call.id)
        running.target.promptProcessed(running.weight.unreadTokens)
        running.weight = running.weight.copy(unreadTokens = 0)
        relay.start(head, response)
    }

    override fun content(data: ByteBuf) {
        val running = attempt ?: return
        running.target.recordActivity(serving.scheduler.now())
        when (relay.add(data)) {
            BodyState.Continues -> if (relay.isForwarding && !caller.isWritable) running.connection?.setReading(false)
            BodyState.DiscardedEnough -> complete()
            BodyState.EventTooLarge -> failOversizedEvent(running)
        }
    }

    private fun failOversizedEvent(running: Attempt) {
        running.target.health.recordFailure(serving.scheduler.now())
        failed(running, "event too large")
    }

    override fun flush() = relay.flush()

    override fun complete() {
        val running = attempt ?: return
        val head = running.head ?: return
        val now = serving.scheduler.now()
        when {
            head.isNotExecuted -> retryUnexecuted(running, head)
            relay.isDiscarding -> failed(running, "unusable response")
            relay.isForwarding -> finishForwarding(running, head, now)
            head.status >= SERVER_ERROR && route.isRepeatable && canRetry() -> repeatAfterFailure(running, head)
            else -> sendBuffered(running, head, now)
        }
    }

    /** Tries another target, and keeps the failure in case that it doesn't respond better. */
    private fun repeatAfterFailure(
        running: Attempt,
        head: ResponseHead,
    ) {
        relay.keep()
        failed(running, "status ${head.status}")
    }

    private fun finishForwarding(
        running: Attempt,
        head: ResponseHead,
        now: Long,
    ) {
        if (relay.isInsideEvent) return connectionLost(running, "stream ended inside an event")
        recordWhole(running, head, now)
        relay.endForwarding()
        finish(if (head.status in SUCCESS_STATUSES) "served" else "status-${head.status}")
    }

    private fun sendBuffered(
        running: Attempt,
        head: ResponseHead,
        now: Long,
    ) {
        recordWhole(running, head, now)
        finish("status-${relay.sendBuffered()}")
    }

    /** Ends [running], whose target has sent its whole response. */
    private fun recordWhole(
        running: Attempt,
        head: ResponseHead,
        now: Long,
    ) {
        if (head.status >= SERVER_ERROR) running.target.health.recordFailure(now) else running.target.health.recordResponse(now)
        endAttempt()
        recordServed(running, now)
    }

    private fun retryUnexecuted(
        running: Attempt,
        head: ResponseHead,
    ) {
        running.target.health.recordResponse(serving.scheduler.now())
        possibleExecutions--
        mayHaveExecuted = possibleExecutions > 0
        if (head.status == MISDIRECTED && running.adapter != null) running.target.adapters -= running.adapter
        log.event(
            Level.INFO,
            "call-not-run",
            "call" to call.id,
            "target" to running.target.id,
            "status" to head.status,
        ) { "target did not execute the call" }
        retry(running)
    }

    /** Records that the target has completed the response of [running]. */
    private fun recordServed(
        running: Attempt,
        now: Long,
    ) {
        val head = running.head ?: return
        if (head.endsWithConnection) {
            // The end of the connection may as well be the end of the target.
            serving.crashGuard.callLost(running.target, call.sharedParts, running.respondedAt, now)
        } else if (head.status in SUCCESS_STATUSES) {
            serving.crashGuard.callServed(call.sharedParts, now)
        }
    }

    override fun disconnected(reason: String) {
        attempt?.let { connectionLost(it, reason) }
    }

    override fun outOfStep(reason: String) {
        val running = attempt ?: return
        running.target.health.recordFailure(serving.scheduler.now())
        failed(running, reason)
    }

    private fun connectionLost(
        running: Attempt,
        reason: String,
    ) {
        val now = serving.scheduler.now()
        val hasStarted = running.head != null
        lostConnections++
        serving.metrics.recordLostCall(hasStarted)
        serving.crashGuard.callLost(running.target, call.sharedParts, running.respondedAt, now)
        if (hasStarted) running.target.health.recordFailure(now) else running.target.health.recordUnreachable(now)
        failed(running, reason)
    }

    /** Handles a call that the target of [running] may have executed without sending a complete response. */
    private fun failed(
        running: Attempt,
        reason: String,
    ) {
        val respondedMs = running.respondedAt?.let { serving.scheduler.now() - it }
        log.event(
            Level.INFO,
            "call-failed-at-target",
            "call" to call.id,
            "target" to running.target.id,
            "arrivals" to sends,
            "respondedMs" to respondedMs,
            "sharedParts" to call.sharedParts.joinToString(","),
            "reason" to reason,
        ) { "call failed on its target" }
        if (route.isRepeatable && canRetry()) return retry(running)
        endAttempt()
        when {
            relay.hasBegun -> abortResponse(reason)
            relay.hasKept -> sendKept()
            else -> refuse(BAD_GATEWAY, "target-failed", null)
        }
    }

    /** Returns whether the call may be executed once more, its caller can use another response, and another target has room for it. */
    private fun canRetry(): Boolean {
        if (!relay.canBeReplaced) return false
        val now = serving.scheduler.now()
        if (possibleExecutions >= route.maxAttempts || serving.allowance(service).remaining(now, serving.instanceCount) < 1) return false
        if (lostConnections >= MAX_LOST_CONNECTIONS || serving.crashGuard.isSuspected(call.sharedParts, now)) return false
        val others = serving.targets.ready(service).filter { !search.isExcluded(it) && it !== attempt?.target }
        return others.any { it.load < MAX_LOAD && !it.isSuspected(now) && !it.availability.isBlocked(now) }
    }

    private fun retry(running: Attempt) {
        search.exclude(running.target)
        endAttempt()
        relay.reset()
        // A target that isn't free now is no reason to hold a response back.
        if (relay.hasKept && !canRetry()) sendKept() else search.choose()
    }

    /** Ends the current attempt and closes its connection if the response is incomplete. */
    private fun endAttempt() {
        val running = attempt ?: return
        if (running.isOver) return
        release(running)
        running.connection?.takeIf { !it.isUsable }?.abandon()
    }

    private fun release(running: Attempt) {
        running.isOver = true
        running.watch?.stop()
        if (running.isSent) running.target.silence.callEnded()
        running.target.removeCall(running.weight, running.adapter)
        running.connection?.setReading(true)
    }

    private fun expire() {
        if (isEnded) return
        giveUp("deadline", OVERLOAD_RETRY_AFTER_MS)
    }

    private fun giveUp(
        reason: String,
        retryAfterMs: Long,
    ) {
        endAttempt()
        when {
            relay.hasBegun -> abortResponse(reason)
            relay.hasKept -> sendKept()
            mayHaveExecuted -> refuse(GATEWAY_TIMEOUT, reason, null)
            else -> refuse(UNAVAILABLE, reason, retryAfterMs)
        }
    }

    private fun sendKept() = finish("status-${relay.sendKept()}")

    private fun refuse(
        status: Int,
        reason: String,
        retryAfterMs: Long?,
    ) {
        if (!mayHaveExecuted) serving.admission.refund(serving.scheduler.now(), admitted)
        caller.refuse(status, reason, retryAfterMs)
        finish(reason)
    }

    private fun abortResponse(reason: String) {
        caller.abort()
        finish("broken-off: $reason")
    }

    private fun finish(outcome: String) {
        if (isEnded) return
        isEnded = true
        search.stop()
        deadlineTimer.cancel()
        body.release()
        serving.end(this)
        logEnd(serving.scheduler.now(), outcome)
    }

    private fun logEnd(
        now: Long,
        outcome: String,
    ) {
        val times = CallTimes(arrivedAt, sentAt, responseStartedAt, now)
        serving.metrics.recordCallEnd(outcome, times.sentMs, times.headMs, times.totalMs)
        if (!serving.callLogLimiter.tryAcquire(now)) return
        val ended =
            CallEnd(route.name, admitted.workspace?.name, attempt?.target?.id ?: search.waitingFor, sends, serving.configuration?.version)
        logCallEnd(log, call, ended, times, outcome)
    }

    private companion object {
        const val INSTANCE_STOPS = "instance-stops"
        const val PART_BLOCKED = "prompt-part-blocked"
        const val SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
    }
}
