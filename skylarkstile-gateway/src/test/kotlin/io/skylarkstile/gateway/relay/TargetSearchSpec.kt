/*
 * Guards against adapters that are loaded on a limited target for calls that it doesn't take, calls that wait in vain for a target whose
 * limit is used up, and calls that are sent before their permit allows it.
 */
package io.skylarkstile.gateway.relay

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.gateway.ManualScheduler
import io.skylarkstile.gateway.adapter
import io.skylarkstile.gateway.adapter.AdapterPlacement
import io.skylarkstile.gateway.admission.CallAdmission
import io.skylarkstile.gateway.admission.Freshness
import io.skylarkstile.gateway.admission.QuotaTolerance
import io.skylarkstile.gateway.admission.WorkspaceShares
import io.skylarkstile.gateway.entry
import io.skylarkstile.gateway.main.GatewayMetrics
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.DeploymentLimits
import io.skylarkstile.gateway.model.Dispatch
import io.skylarkstile.gateway.model.NamedLimit
import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.gateway.route
import io.skylarkstile.gateway.target.AdapterPhase
import io.skylarkstile.gateway.target.CallGrant
import io.skylarkstile.gateway.target.TargetSelector
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable

private object UnusedCodec : CallCodec {
    override fun readCallOrNull(request: HttpRequest): CallHead? = null

    override fun targetHeaders(
        call: CallHead,
        dispatch: Dispatch,
    ): HttpHeaders = DefaultHttpHeaders()

    override fun readResponse(response: HttpResponse): ResponseHead = error("no response is read")

    override fun addOwnHeaders(
        headers: HttpHeaders,
        callId: String?,
        retryAfterMs: Long?,
    ) = Unit
}

private val bounds =
    DeploymentLimits(
        drainMs = 2_000,
        graceMs = 8_000,
        revokeMs = 5_000,
        leaseMs = 3_000,
        retryRatio = 0.2,
        retrySlack = 52.0,
        retryWindowMs = 10_000,
        quotaOverage = 0.1,
        quotaSlack = 0.0,
        quotaWindowMs = 8_000,
        addressTtlMs = 5_000,
    )

/** Gives each request the same [grant] and records how long calls can wait. */
private class FixedPermits(
    private val scheduler: ManualScheduler,
    var grant: CallGrant,
) : CallPermits {
    val maxWaits = ArrayList<Long>()
    var answerDelayMs = 0L

    override fun responseReceived(
        target: TargetState,
        head: ResponseHead,
        sentAt: Long,
    ) = Unit

    override fun request(
        target: TargetState,
        maxWaitMs: Long,
        done: (CallGrant) -> Unit,
    ) {
        maxWaits.add(maxWaitMs)
        val answer = grant
        if (!answer.isGranted) target.callLimit.block(scheduler.now() + answer.waitMs)
        if (answerDelayMs == 0L) done(answer) else scheduler.after(answerDelayMs) { done(answer) }
    }
}

/** Blocks and records nothing. */
private object NoCrashes : CrashGuard {
    override fun blockedUntilOrNull(
        parts: List<String>,
        now: Long,
    ): Long? = null

    override fun isSuspected(
        parts: List<String>,
        now: Long,
    ) = false

    override fun callSent(
        parts: List<String>,
        now: Long,
    ) = Unit

    override fun callLost(
        target: TargetState,
        parts: List<String>,
        respondedAt: Long?,
        now: Long,
    ) = Unit

    override fun callServed(
        parts: List<String>,
        now: Long,
    ) = Unit
}

private class RecordedDemand : AdapterDemand {
    val requested = ArrayList<String>()

    override fun requestAdapter(
        target: TargetState,
        adapter: AdapterVersion,
    ) {
        requested.add(target.id)
    }

    override fun recordCall(adapter: AdapterVersion) = Unit
}

/** One search on targets of the service `models`, with its results. */
private class Search(
    grant: CallGrant,
) : TargetSearchListener,
    AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    val scheduler = ManualScheduler()
    val permits = FixedPermits(scheduler, grant)
    val demand = RecordedDemand()
    private val table = TargetTable()
    private val selector = TargetSelector("dc-1") { 0.5 }
    private val shares = WorkspaceShares(QuotaTolerance(0.1, 0.0, 8_000))
    private val metrics = GatewayMetrics()
    private val context =
        RelayContext(
            bounds,
            scheduler,
            UnusedCodec,
            TargetConnectionPool(group.next(), scheduler, UnusedCodec, metrics),
            table,
            selector,
            AdapterPlacement(selector),
            CallAdmission(shares, Freshness(1_000)),
            demand,
            permits,
            NoCrashes,
            metrics,
            BodyBudget(1_000_000),
            HeadBudget(1_000_000),
        ) { 0.5 }
    private val search = TargetSearch(context, call(), "models", route("/", service = "models", timeoutMs = 5_000), 0, 5_000, this)
    val results = ArrayList<String>()

    private fun call() = CallHead(
        "c",
        HttpMethod.POST,
        "/",
        "host.example",
        DefaultHttpHeaders(),
        null,
        null,
        null,
        adapter("a").name,
        10,
        10,
        true,
        null,
    )

    fun target(
        id: String,
        isLimited: Boolean = true,
        hasAdapter: Boolean = false,
    ): TargetState = table.put(entry(id, startedAt = 1)).apply {
        orderableUntil = Long.MAX_VALUE
        if (isLimited) callLimit.observe(0, 0, NamedLimit.CallRate(4.0))
        if (hasAdapter) adapters = mapOf(adapter("a") to AdapterPhase.Present)
    }

    fun start() = search.choose()

    fun recheck() = search.recheck()

    override fun found(
        target: TargetState,
        adapter: AdapterVersion?,
    ) {
        results.add("${target.id} at ${scheduler.now()}")
    }

    override fun notFound(
        reason: String,
        retryAfterMs: Long,
    ) {
        results.add("$reason, return after $retryAfterMs")
    }

    override fun expired() {
        results.add("expired")
    }

    override fun close() {
        search.stop()
        group.shutdownGracefully()
    }
}

class TargetSearchSpec :
    FunSpec({
        test("without a permit, no adapter is loaded on a limited target, and the call is refused at once with a time to return") {
            Search(CallGrant(false, 700)).use {
                it.target("t-1")
                it.target("t-2", hasAdapter = true)
                it.start()
                it.demand.requested shouldBe emptyList()
                it.results shouldBe listOf("targets-limited, return after 700")
            }
        }

        test("with a permit, the adapter is loaded while the call waits for its turn") {
            Search(CallGrant(true, 45)).use {
                val target = it.target("t-1")
                it.start()
                it.permits.maxWaits shouldBe listOf(50L)
                it.demand.requested shouldBe listOf("t-1")
                it.scheduler.advance(20)
                target.adapters = mapOf(adapter("a") to AdapterPhase.Present)
                it.scheduler.advance(200)
                it.results shouldBe listOf("t-1 at 100")
                it.permits.maxWaits.size shouldBe 1
            }
        }

        test("a call is sent when its permit allows it, or at once when the limit is lifted") {
            Search(CallGrant(true, 45)).use {
                it.target("t-1", hasAdapter = true)
                it.start()
                it.results shouldBe emptyList()
                it.scheduler.advance(60)
                it.results shouldBe listOf("t-1 at 45")
            }
            Search(CallGrant(true, 45)).use {
                val target = it.target("t-1", hasAdapter = true)
                it.start()
                it.scheduler.advance(20)
                target.callLimit.observe(20, 10, NamedLimit.None)
                it.recheck()
                it.results shouldBe listOf("t-1 at 20")
            }
        }

        test("a permit isn't used by a process that stood still after its request until long after the permitted time") {
            Search(CallGrant(true, 45)).use {
                it.target("t-1", hasAdapter = true)
                it.permits.answerDelayMs = 3_000
                it.start()
                it.scheduler.advance(2_999)
                it.permits.grant = CallGrant(false, 700)
                it.permits.answerDelayMs = 0
                it.scheduler.advance(100)
                it.results shouldBe listOf("targets-limited, return after 700")
            }
        }

        test("a call whose adapter is on a limited target goes to one without a limit") {
            Search(CallGrant(false, 700)).use {
                it.target("t-1", hasAdapter = true)
                val other = it.target("t-2", isLimited = false)
                it.start()
                it.demand.requested shouldBe listOf("t-2")
                other.adapters = mapOf(adapter("a") to AdapterPhase.Present)
                it.scheduler.advance(100)
                it.results shouldBe listOf("t-2 at 100")
            }
        }
    })
