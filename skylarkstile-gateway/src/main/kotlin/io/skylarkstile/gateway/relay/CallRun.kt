/*
 * One call from its admission to its end: choosing a target, waiting for an adapter, sending, passing the answer on, and trying another
 * target where the call may run again or has not run.
 */
package io.skylarkstile.gateway.relay

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.adapter.Placement
import io.skylarkstile.gateway.admission.Admission
import io.skylarkstile.gateway.http.passedOn
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.AnswerHead
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Dispatch
import io.skylarkstile.gateway.model.Repeatability
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.gateway.target.FULL_LOAD
import io.skylarkstile.gateway.target.TargetState
import kotlin.math.max
import kotlin.math.min

private val log = KotlinLogging.logger {}

/** A call that can't be sent with at least this much time left is refused, in milliseconds. */
private const val LEAST_TIME_MS = 10L

/** Own answers are sent this long before the deadline, so that they arrive before the caller has left, in milliseconds. */
private const val ANSWER_MARGIN_MS = 15L

/** Answers up to this size are read whole before they are passed on, so that one that breaks off can be asked for again, in bytes. */
private const val WHOLE_ANSWER_BYTES = 65_536

/** Bytes read at most of an answer that isn't passed on. */
private const val MOST_DISCARDED_BYTES = 65_536

/** A call goes to at most this many targets, also where none of them ran it. */
private const val MOST_ARRIVALS = 4

/** Calls that wait for an adapter repeat their wish, since a message may be lost, in milliseconds. */
private const val REPEAT_WISH_MS = 100L

/** A load takes a quarter of a second and a few times that under load; after this time another target is tried, in milliseconds. */
private const val LONGEST_WAIT_MS = 1_000L

/** Part of its target latency that a call waits for any target to take it, and how often it looks meanwhile, in milliseconds. */
private const val HOLD_SHARE = 0.5
private const val HOLD_LOOK_MS = 25L

/** Callers return after this time when all targets are full or gone, in milliseconds. */
private const val FULL_RETRY_MS = 300L

/** Callers go to another instance after this time when this one leaves, in milliseconds. */
internal const val MOVED_RETRY_MS = 20L

/** An answer counts as missing after this multiple of its route's target latency; a repeatable call then tries another target. */
private const val SILENCE_LATENCIES = 2.0

/** Runs one call; all functions are called on the event loop. */
internal class CallRun(
    private val serving: Serving,
    private val caller: Caller,
    private val call: CallHead,
    private val body: ByteBuf,
    private val admitted: Admission.Admitted,
    private val service: String,
    private val arrivedAt: Long,
) : AnswerListener {
    private enum class Mode { Undecided, Gather, PassOn, Discard }

    private val route = admitted.route
    private val deadlineAt = arrivedAt + min(call.waitMs ?: Long.MAX_VALUE, route.timeoutMs)
    private val weight =
        CallWeight(1, if (call.hasTokens) call.promptTokens + call.outputTokens else 0, if (call.hasTokens) call.promptTokens else 0)
    private val tried = LinkedHashSet<String>()
    private val events = if (route.repeatability == Repeatability.ResumableStream) EventSplitter() else null
    private var arrivals = 0
    private var runs = 0
    private var mode = Mode.Undecided
    private var isBegun = false
    private var begunAt: Long? = null
    private var sentAt: Long? = null
    private var isEnded = false
    private var mayHaveRun = false
    private var attempt: Attempt? = null
    private var gathered: ByteBuf? = null
    private var discarded = 0
    private var gatheredHead: HttpResponse? = null
    private var waitTimer: Timer? = null
    private var silenceTimer: Timer? = null
    private val deadlineTimer = serving.scheduler.after(max(0, deadlineAt - ANSWER_MARGIN_MS - arrivedAt)) { expire() }

    private var waitingFor: String? = null
    private var waitingSince = 0L
    private var isWaiting = false

    /** Id of the target on which this call waits for an adapter; null while it waits for any target. */
    var awaitsTarget: String? = null
        private set

    private class Attempt(
        val target: TargetState,
        val adapter: AdapterVersion?,
        val sentAt: Long,
    ) {
        var connection: TargetConnection? = null
        var isOver = false
        var isSent = false
        var head: AnswerHead? = null

        /** What the target still counts for this attempt. */
        var weight = CallWeight.NONE
    }

    /** Begins the call. */
    fun start() {
        serving.begin(this)
        serving.allowance(service).request(serving.scheduler.now())
        call.adapter?.let { serving.demand.asked(serving.current(it)) }
        choose()
    }

    /** Looks for a target again because adapters have changed. */
    fun lookAgain() {
        if (isWaiting && !isEnded) choose()
    }

    /** Ends the call because its caller has left. */
    fun callerLeft() {
        if (isEnded) return
        finish("caller-left")
        endAttempt()
    }

    /** Ends the call because this instance stops: with a refusal where it has not run. */
    fun stop() {
        if (!isEnded) giveUp("instance-stops", MOVED_RETRY_MS)
    }

    /** Moves the call to another target where it may run again, because [target] doesn't answer. */
    fun targetDead(target: TargetState) {
        val running = attempt?.takeIf { it.target === target && it.isSent && !it.isOver } ?: return
        if (route.isRepeatable && mayRepeat()) failed(running, "target went silent")
    }

    /** Continues reading the answer once the caller has taken what was passed on. */
    fun callerWritable(isWritable: Boolean) {
        if (mode == Mode.PassOn) attempt?.connection?.setReading(isWritable)
    }

    private fun choose() {
        stopWaiting()
        val now = serving.scheduler.now()
        if (deadlineAt - now < LEAST_TIME_MS) return expire()
        val limit = serving.connectionLimit(service)
        val candidates =
            serving.targets.ready(service).filter {
                serving.pool.hasRoom(it.entry.address, limit) && (call.model == null || call.model in it.models)
            }
        val adapter = call.adapter?.let(serving::current)
        if (adapter == null) {
            val target = serving.choice.chooseOrNull(now, candidates, tried) ?: return hold(now)
            return send(target, null)
        }
        when (val placement = serving.placement.place(now, adapter, candidates, tried)) {
            is Placement.Run -> {
                serving.placement.copyOrNull(now, adapter, candidates)?.let { serving.demand.wish(it, adapter) }
                send(placement.target, adapter)
            }

            is Placement.Await -> {
                await(placement.target, adapter)
            }

            Placement.None -> {
                hold(now)
            }
        }
    }

    private fun await(
        target: TargetState,
        adapter: AdapterVersion,
    ) {
        val now = serving.scheduler.now()
        if (waitingFor != target.id) {
            waitingFor = target.id
            waitingSince = now
        }
        if (now - waitingSince > LONGEST_WAIT_MS) {
            log.event(Level.INFO, "call-waited-in-vain", "call" to call.id, "target" to target.id, "adapter" to "$adapter") {
                "waited ${now - waitingSince} ms for an adapter, trying another target"
            }
            tried.add(target.id)
            return choose()
        }
        waitFor(target.id, REPEAT_WISH_MS)
        serving.demand.wish(target, adapter)
    }

    /**
     * Waits for any target, for a part of the time in which the answer is wanted: after a restart it takes some 0.1 s until the instances
     * know what the targets hold, and a caller that is refused may not come back more than once.
     */
    private fun hold(now: Long) {
        if (now - arrivedAt >= route.targetLatencyMs * HOLD_SHARE) return giveUp("no-target-free", FULL_RETRY_MS)
        waitFor(null, HOLD_LOOK_MS)
    }

    private fun waitFor(
        target: String?,
        lookAgainMs: Long,
    ) {
        isWaiting = true
        awaitsTarget = target
        serving.await(this)
        waitTimer = serving.scheduler.after(lookAgainMs) { lookAgain() }
    }

    private fun stopWaiting() {
        if (!isWaiting) return
        isWaiting = false
        awaitsTarget = null
        waitTimer?.cancel()
        serving.stopAwaiting(this)
    }

    private fun send(
        target: TargetState,
        adapter: AdapterVersion?,
    ) {
        val now = serving.scheduler.now()
        if (arrivals > 0 && (arrivals >= MOST_ARRIVALS || !serving.allowance(service).tryRepeat(now, serving.instances))) {
            return giveUp("retry-allowance-used", FULL_RETRY_MS)
        }
        // The holder hears of the use at once, since an adapter that is told to leave while calls use it blocks the target's orders.
        if (adapter != null && adapter !in target.adapterCalls) serving.demand.wish(target, adapter)
        val started = Attempt(target, adapter, now)
        attempt = started
        started.weight = weight
        target.begin(weight, adapter)
        serving.pool.acquire(target.entry.address) { connection -> connected(started, connection) }
    }

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
            started.target.health.unreachable(now)
            return retry(started)
        }
        val remaining = deadlineAt - now
        if (remaining < LEAST_TIME_MS) {
            connection.onFree(null)
            return expire()
        }
        sentAt = now
        started.connection = connection
        started.isSent = true
        started.target.silence.sent(now)
        arrivals++
        runs++
        mayHaveRun = true
        mode = Mode.Undecided
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
                adapterVersion = started.adapter?.version?.takeIf { call.adapter in serving.versions },
                lastEventId = events?.lastId ?: call.lastEventId,
            )
        connection.send(call.id, call.method, call.uri, serving.codec.targetHeaders(call, dispatch), body.retainedDuplicate(), this)
        watchSilence(started)
    }

    /** Counts an answer that doesn't come in time against the target, and moves a repeatable call elsewhere. */
    private fun watchSilence(started: Attempt) {
        val patience = max(MIN_SILENCE_MS, (route.targetLatencyMs * SILENCE_LATENCIES).toLong())
        silenceTimer =
            serving.scheduler.after(patience) {
                val now = serving.scheduler.now()
                if (attempt !== started || started.isOver || started.head != null) return@after
                started.target.health.failed(now)
                if (route.isRepeatable && now + patience <= deadlineAt && mayRepeat()) failed(started, "silent for $patience ms")
            }
    }

    override fun head(
        head: AnswerHead,
        response: HttpResponse,
    ) {
        val running = attempt ?: return
        silenceTimer?.cancel()
        running.target.heard(serving.scheduler.now())
        running.head = head
        running.target.read(running.weight.unreadTokens)
        running.weight = running.weight.copy(unreadTokens = 0)
        val isSuccess = head.status in 200..299
        mode =
            when {
                head.isNotRun || isUnusable(head) -> Mode.Discard
                isBegun && !isSuccess -> Mode.Discard
                isBegun -> Mode.PassOn
                route.isStream && isSuccess -> Mode.PassOn
                else -> Mode.Gather
            }
        gatheredHead = response
        discarded = 0
        if (mode == Mode.Gather) gathered = Unpooled.buffer()
        if (mode == Mode.PassOn && !isBegun) begin(response)
    }

    /** A success without a signature, or with an encoding, isn't a target's answer. */
    private fun isUnusable(head: AnswerHead): Boolean = head.isEncoded || (head.status in 200..299 && !head.isSigned)

    private fun begin(response: HttpResponse) {
        isBegun = true
        begunAt = serving.scheduler.now()
        // A stream that may be continued at another target has no length of its own.
        val length =
            response
                .headers()
                .get(HttpHeaderNames.CONTENT_LENGTH)
                ?.toLongOrNull()
                ?.takeIf { events == null }
        caller.begin(response.status().code(), response.status().reasonPhrase(), answerHeaders(response), length)
    }

    private fun answerHeaders(response: HttpResponse): HttpHeaders = passedOn(response.headers(), setOf("content-length"))

    override fun content(data: ByteBuf) {
        attempt?.let { it.target.heard(serving.scheduler.now()) }
        when (mode) {
            Mode.Gather -> gather(data)
            Mode.PassOn -> passOn(data)
            Mode.Discard -> discard(data)
            Mode.Undecided -> Unit
        }
    }

    /** An answer that isn't passed on counts as whole once it has brought too much: what follows may never end. */
    private fun discard(data: ByteBuf) {
        discarded += data.readableBytes()
        if (discarded > MOST_DISCARDED_BYTES) complete()
    }

    private fun endless() {
        val running = attempt ?: return
        running.target.health.failed(serving.scheduler.now())
        failed(running, "an event without end")
    }

    private fun gather(data: ByteBuf) {
        val whole = gathered ?: return
        whole.writeBytes(data)
        if (whole.readableBytes() <= WHOLE_ANSWER_BYTES) return
        mode = Mode.PassOn
        gatheredHead?.let(::begin)
        caller.part(whole)
        gathered = null
    }

    private fun passOn(data: ByteBuf) {
        if (events == null) {
            caller.part(data)
        } else {
            val whole = events.add(ByteBufUtil.getBytes(data))
            if (whole.isNotEmpty()) caller.part(Unpooled.wrappedBuffer(whole))
            if (events.isEndless) return endless()
        }
        if (!caller.isWritable) attempt?.connection?.setReading(false)
    }

    override fun flush() {
        if (mode == Mode.PassOn) caller.flush()
    }

    override fun complete() {
        val running = attempt ?: return
        val head = running.head ?: return
        val now = serving.scheduler.now()
        when {
            head.isNotRun -> notRun(running, head)
            mode == Mode.Discard -> failed(running, "answer without signature")
            mode == Mode.PassOn -> ended(running, now)
            head.status >= SERVER_ERROR && route.isRepeatable && mayRepeat() -> failed(running, "status ${head.status}")
            else -> answerWhole(running, head, now)
        }
    }

    private fun ended(
        running: Attempt,
        now: Long,
    ) {
        running.target.health.answered(now)
        release(running)
        if (events != null && events.heldBytes > 0) return breakOff("incomplete-event")
        caller.end()
        finish("served")
    }

    private fun answerWhole(
        running: Attempt,
        head: AnswerHead,
        now: Long,
    ) {
        if (head.status >= SERVER_ERROR) running.target.health.failed(now) else running.target.health.answered(now)
        release(running)
        val response = gatheredHead ?: return
        val whole = gathered ?: Unpooled.EMPTY_BUFFER
        val length =
            if (call.method ==
                HttpMethod.HEAD
            ) {
                response.headers().get(HttpHeaderNames.CONTENT_LENGTH)?.toLongOrNull()
            } else {
                whole.readableBytes().toLong()
            }
        caller.begin(head.status, response.status().reasonPhrase(), answerHeaders(response), length)
        if (whole.isReadable) caller.part(whole)
        caller.end()
        finish("status-${head.status}")
    }

    private fun notRun(
        running: Attempt,
        head: AnswerHead,
    ) {
        running.target.health.answered(serving.scheduler.now())
        runs--
        mayHaveRun = runs > 0
        if (head.status == MISDIRECTED && running.adapter != null) running.target.adapters -= running.adapter
        log.event(
            Level.INFO,
            "call-not-run",
            "call" to call.id,
            "target" to running.target.id,
            "status" to head.status,
        ) { "not run by its target" }
        retry(running)
    }

    override fun broken(reason: String) {
        val running = attempt ?: return
        if (running.head ==
            null
        ) {
            running.target.health.unreachable(serving.scheduler.now())
        } else {
            running.target.health.failed(serving.scheduler.now())
        }
        failed(running, reason)
    }

    /** The call may have run on the target of [running], and its answer isn't whole. */
    private fun failed(
        running: Attempt,
        reason: String,
    ) {
        log.event(Level.INFO, "call-failed-at-target", "call" to call.id, "target" to running.target.id, "reason" to reason) {
            "failed at its target"
        }
        if (route.isRepeatable && mayRepeat()) return retry(running)
        endAttempt()
        if (isBegun) breakOff(reason) else refuse(BAD_GATEWAY, "target-failed", null)
    }

    /** Returns whether the call may go to one more target, and there is one. */
    private fun mayRepeat(): Boolean {
        val now = serving.scheduler.now()
        if (runs >= route.maxAttempts || serving.allowance(service).left(now, serving.instances) < 1) return false
        val others = serving.targets.ready(service).filter { it.id !in tried && it !== attempt?.target }
        return others.any { it.load < FULL_LOAD && !it.isAvoided(now) }
    }

    private fun retry(running: Attempt) {
        tried.add(running.target.id)
        endAttempt()
        events?.dropPart()
        gathered = null
        mode = Mode.Undecided
        choose()
    }

    /** Ends the present attempt; a connection whose answer isn't whole is closed. */
    private fun endAttempt() {
        silenceTimer?.cancel()
        val running = attempt ?: return
        if (running.isOver) return
        release(running)
        running.connection?.takeIf { !it.isUsable }?.abandon()
    }

    private fun release(running: Attempt) {
        running.isOver = true
        if (running.isSent) running.target.silence.ended()
        running.target.end(running.weight, running.adapter)
        running.connection?.setReading(true)
    }

    private fun expire() {
        if (isEnded) return
        giveUp("deadline", FULL_RETRY_MS)
    }

    private fun giveUp(
        reason: String,
        retryAfterMs: Long,
    ) {
        endAttempt()
        when {
            isBegun -> breakOff(reason)
            mayHaveRun -> refuse(GATEWAY_TIMEOUT, reason, null)
            else -> refuse(UNAVAILABLE, reason, retryAfterMs)
        }
    }

    private fun refuse(
        status: Int,
        reason: String,
        retryAfterMs: Long?,
    ) {
        if (!mayHaveRun) serving.admission.refund(serving.scheduler.now(), admitted)
        caller.refuse(status, reason, retryAfterMs)
        finish(reason)
    }

    private fun breakOff(reason: String) {
        caller.abort()
        finish("broken-off: $reason")
    }

    private fun finish(outcome: String) {
        if (isEnded) return
        isEnded = true
        stopWaiting()
        deadlineTimer.cancel()
        silenceTimer?.cancel()
        body.release()
        serving.end(this)
        logEnd(serving.scheduler.now(), outcome)
    }

    private fun logEnd(
        now: Long,
        outcome: String,
    ) {
        val times = CallTimes(arrivedAt, sentAt, begunAt, now)
        serving.metrics.ended(outcome, times.sentMs, times.headMs, times.ms)
        if (!serving.lines.take(now)) return
        val ended =
            CallEnd(route.name, admitted.workspace?.name, attempt?.target?.id ?: waitingFor, arrivals, serving.configuration?.version)
        logCallEnd(log, call, ended, times, outcome)
    }

    private companion object {
        const val MIN_SILENCE_MS = 250L
        const val SERVER_ERROR = 500
        const val MISDIRECTED = 421
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
    }
}
