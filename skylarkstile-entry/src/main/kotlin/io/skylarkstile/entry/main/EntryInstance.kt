/*
 * One entry instance, put together: it starts the parts in the order in which they need each other and stops them in reverse.
 */
package io.skylarkstile.entry.main

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.config.key.checkKeyOrNull
import io.skylarkstile.config.log.event
import io.skylarkstile.entry.admin.Admin
import io.skylarkstile.entry.admin.DumpPart
import io.skylarkstile.entry.front.Front
import io.skylarkstile.entry.front.FrontMetrics
import io.skylarkstile.entry.front.KeyVerifier
import io.skylarkstile.entry.front.LedgerRunner
import io.skylarkstile.entry.front.ModelCallSettings
import io.skylarkstile.entry.front.ModelCalls
import io.skylarkstile.entry.front.RunningCalls
import io.skylarkstile.entry.front.ServiceCallSettings
import io.skylarkstile.entry.front.ServiceCalls
import io.skylarkstile.entry.target.TargetPartSettings
import io.skylarkstile.entry.target.targetPart
import io.skylarkstile.schema.generated.EntrySettings
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.transport.http.HttpServer
import io.skylarkstile.transport.http.HttpServerLimits
import io.skylarkstile.transport.http.httpClient
import io.skylarkstile.transport.http.httpServer
import io.skylarkstile.transport.platform.objectStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

private val log = KotlinLogging.logger {}

/** Monotonic milliseconds of this process. */
internal fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

private const val NANOS_PER_MS = 1_000_000L

/** Starts an instance; returns once it listens. */
internal suspend fun startInstance(settings: EntrySettings): EntryInstance = EntryInstance(settings).also { it.start() }

internal class EntryInstance(
    private val settings: EntrySettings,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val registry = PrometheusRegistry()
    private val http = httpClient(settings.target.connectTimeoutMs.toLong())
    private val store = objectStore(settings.platform.address, http, settings.platform.timeoutMs.toLong())
    private val running = RunningCalls()

    @Volatile
    private var draining = false
    private val snapshots = PollingSnapshots(store)
    private val network = NoPeers()
    private val cluster = SoloCluster(member())
    private val limiter = OpenLimiter()
    private val ledger =
        LedgerRunner { LedgerAnswer(LedgerAnswer.Outcome.NotRun, reason = "no-ledger", detail = "the ledger is not there yet") }
    private lateinit var front: HttpServer
    private lateinit var admin: HttpServer

    val callerAddress: String get() = settings.instance.advertisedCallerAddress ?: settings.instance.callerAddress

    fun start() {
        snapshots.onChange { s ->
            val ended = running.endWithdrawn(s)
            if (ended > 0) log.event(Level.INFO, "calls-ended", "count" to ended) { "ended running calls of withdrawn keys" }
        }
        scope.launch { snapshots.run() }
        front = httpServer(settings.instance.callerAddress, frontLimits(), createFront())
        admin = httpServer(settings.instance.adminAddress, HttpServerLimits(maxConnections = ADMIN_CONNECTIONS), createAdmin())
        log.event(Level.INFO, "started", "instance" to settings.instance.name) { "listening on ${front.address}" }
    }

    suspend fun awaitReady() {
        while (notReadyOrNull() != null) delay(READY_POLL_MS)
    }

    /** Leaves, finishes the running requests and stops. Returns whether all requests were finished in time. */
    suspend fun shutDown(): Boolean {
        draining = true
        front.beginClosing()
        val whole = front.drain(settings.http.drainMs.toLong())
        scope.cancel()
        admin.close()
        front.close()
        http.close()
        return whole
    }

    private fun notReadyOrNull(): String? = when {
        draining -> "the instance is shutting down"
        snapshots.current().revision == 0L -> "no configuration has been read yet"
        !cluster.isActive() -> "the instance is not an active member yet"
        else -> null
    }

    private fun member() = Member(
        instance = settings.instance.name,
        incarnation = System.currentTimeMillis(),
        callerAddress = callerAddress,
        peerAddress = settings.instance.advertisedPeerAddress ?: settings.instance.peerAddress,
        dataCentre = settings.instance.dataCentre,
        state = Member.State.Active,
    )

    private fun frontLimits() = HttpServerLimits(
        maxConnections = settings.http.maxConnections,
        maxHeaderBytes = settings.http.maxHeaderBytes,
        maxBodyBytes = settings.http.maxBodyBytes,
        readTimeoutMs = settings.http.readTimeoutMs.toLong(),
        idleTimeoutMs = settings.http.idleTimeoutMs.toLong(),
    )

    private fun createFront(): Front {
        val metrics = FrontMetrics(registry)
        val targets =
            targetPart(
                cluster,
                snapshots,
                network,
                http,
                TargetPartSettings(settings.target, settings.load, settings.cluster.sendMarginMs.toLong()),
                scope,
                ::monotonicMs,
            )
        targets.loadBudget.resources().forEach { targets.loadBudget.acquired(it, 1) }
        snapshots.onChange { for (resource in targets.owner.resources()) targets.owner.acquired(resource, 1) }
        val timeoutMs = settings.target.requestTimeoutMs.toLong()
        val models =
            ModelCalls(
                limiter,
                targets.dispatcher,
                running,
                metrics,
                ModelCallSettings(settings.quota.defaultMaxTokens, timeoutMs),
                ::monotonicMs,
            )
        val serviceSettings = ServiceCallSettings(settings.instance.dataCentre, settings.target.idleTimeoutMs.toLong(), timeoutMs)
        val services = ServiceCalls(http, limiter, ledger, metrics, serviceSettings, ::monotonicMs)
        val verifier = KeyVerifier { s, key -> checkKeyOrNull(key, s.keys)?.id }
        return Front(snapshots, verifier, cluster, targets.dispatcher, models, services, settings.http.addressTtlMs, ::notReadyOrNull)
    }

    private fun createAdmin() = Admin(
        registry,
        ::notReadyOrNull,
        listOf(
            DumpPart("instance") {
                JsonObject(
                    mapOf(
                        "name" to JsonPrimitive(settings.instance.name),
                        "running" to JsonPrimitive(running.count),
                    ),
                )
            },
            DumpPart("snapshot") { JsonObject(mapOf("revision" to JsonPrimitive(snapshots.current().revision))) },
        ),
    )

    private companion object {
        const val READY_POLL_MS = 20L
        const val ADMIN_CONNECTIONS = 64
    }
}
