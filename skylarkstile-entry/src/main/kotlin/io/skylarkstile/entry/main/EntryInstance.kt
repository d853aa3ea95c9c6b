/*
 * Assembles one entry instance: creates its components, starts them in the order of their dependencies and stops them in reverse.
 */
package io.skylarkstile.entry.main

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.skylarkstile.config.key.checkKeyOrNull
import io.skylarkstile.config.log.event
import io.skylarkstile.core.limit.LOAN_MS
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.entry.admin.AdminHandler
import io.skylarkstile.entry.admin.DumpSection
import io.skylarkstile.entry.admin.InstanceState
import io.skylarkstile.entry.admin.registerInstanceMetrics
import io.skylarkstile.entry.cluster.ClusterDump
import io.skylarkstile.entry.cluster.ClusterEnv
import io.skylarkstile.entry.cluster.ClusterListener
import io.skylarkstile.entry.cluster.ClusterService
import io.skylarkstile.entry.cluster.clusterService
import io.skylarkstile.entry.front.FrontHandler
import io.skylarkstile.entry.front.FrontMetrics
import io.skylarkstile.entry.front.KeyVerifier
import io.skylarkstile.entry.front.LedgerRunner
import io.skylarkstile.entry.front.ModelCallSettings
import io.skylarkstile.entry.front.ModelCalls
import io.skylarkstile.entry.front.RunningCalls
import io.skylarkstile.entry.front.ServiceCallSettings
import io.skylarkstile.entry.front.ServiceCalls
import io.skylarkstile.entry.ledger.LedgerPartSettings
import io.skylarkstile.entry.ledger.httpServiceCaller
import io.skylarkstile.entry.ledger.ledgerPart
import io.skylarkstile.entry.limit.borrowingLimiter
import io.skylarkstile.entry.snapshot.SnapshotMembership
import io.skylarkstile.entry.snapshot.SnapshotSync
import io.skylarkstile.entry.snapshot.snapshotSync
import io.skylarkstile.entry.target.ServiceReplicas
import io.skylarkstile.entry.target.TargetPartSettings
import io.skylarkstile.entry.target.targetPart
import io.skylarkstile.schema.generated.EntrySettings
import io.skylarkstile.schema.generated.Member
import io.skylarkstile.transport.http.HttpServer
import io.skylarkstile.transport.http.HttpServerLimits
import io.skylarkstile.transport.http.httpClient
import io.skylarkstile.transport.http.httpServer
import io.skylarkstile.transport.peer.PeerNode
import io.skylarkstile.transport.peer.PeerOptions
import io.skylarkstile.transport.peer.peerNetwork
import io.skylarkstile.transport.platform.objectStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement

private val log = KotlinLogging.logger {}

/** Returns the monotonic time of this process in milliseconds. */
internal fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

private const val NANOS_PER_MS = 1_000_000L

/** Creates and starts an instance. Returns once it listens for connections. */
internal suspend fun startInstance(settings: EntrySettings): EntryInstance {
    val incarnation = System.currentTimeMillis()
    val options = PeerOptions(heartbeatMs = settings.cluster.heartbeatMs.toLong(), now = ::monotonicMs)
    val network = peerNetwork(settings.instance.name, incarnation, settings.cluster.name, settings.instance.peerAddress, options)
    return EntryInstance(settings, incarnation, network).also { it.start() }
}

internal class EntryInstance(
    private val settings: EntrySettings,
    incarnation: Long,
    private val network: PeerNode,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val registry = PrometheusRegistry()
    private val http = httpClient(settings.target.connectTimeoutMs.toLong(), settings.http.readAheadBytes)
    private val store = objectStore(settings.platform.address, http, settings.platform.timeoutMs.toLong())
    private val running = RunningCalls()
    private val cluster: ClusterService =
        clusterService(
            settings.instance,
            settings.cluster,
            incarnation,
            ClusterEnv(
                network,
                store,
                { snapshots.current().revision },
                ::monotonicMs,
                snapshotKnownRevision = { snapshots.knownRevision },
            ),
        )
    private val snapshots: SnapshotSync =
        snapshotSync(
            SnapshotMembership(settings.instance.name, cluster::members),
            store,
            network,
            settings.platform.watchMs.toLong(),
        )
    private val limiter = borrowingLimiter(settings.quota, cluster, snapshots, network, scope, ::monotonicMs)
    private val targets =
        targetPart(
            cluster,
            snapshots,
            network,
            http,
            TargetPartSettings(settings.target, settings.load, sendMarginMs()),
            scope,
            ::monotonicMs,
        )
    private val replicas = ServiceReplicas(snapshots, settings.instance.dataCentre)
    private val ledger =
        ledgerPart(
            cluster,
            network,
            store,
            httpServiceCaller(http, replicas, settings.target.idleTimeoutMs.toLong()),
            LedgerPartSettings(settings.ledger, sendMarginMs()),
            scope,
            ::monotonicMs,
        )
    private lateinit var front: HttpServer
    private lateinit var admin: HttpServer

    @Volatile
    private var draining = false

    @Volatile
    private var servingSince = NOT_SERVING

    val callerAddress: String get() = settings.instance.advertisedCallerAddress ?: settings.instance.callerAddress

    fun start() {
        listOf(targets.owner, targets.loadBudget, ledger.owner).forEach(cluster::register)
        cluster.addListener(ClusterEventHandler())
        val state = InstanceState({ notReadyReasonOrNull() == null }, running::count, { snapshots.current().revision }, cluster::dump)
        registerInstanceMetrics(registry, state)
        snapshots.onChange(::endCallsOfWithdrawnKeys)
        front = httpServer(settings.instance.callerAddress, frontLimits(), createFront())
        admin = httpServer(settings.instance.adminAddress, HttpServerLimits(maxConnections = MAX_ADMIN_CONNECTIONS), createAdmin())
        snapshots.start(scope)
        cluster.start()
        log.event(Level.INFO, "started", "instance" to settings.instance.name) { "listening on ${front.address}" }
    }

    suspend fun awaitReady() {
        while (notReadyReasonOrNull() != null) delay(READY_POLL_INTERVAL_MS)
    }

    /**
     * Releases owned resources, keeps serving until callers have dropped the address, waits for running requests, leaves the roster and
     * stops. Returns whether all requests finished in time and all resources were released.
     */
    suspend fun shutDown(): Boolean {
        draining = true
        front.beginClosing()
        val drainMs = settings.http.drainMs.toLong()
        val addressTtlMs = settings.http.addressTtlMs.toLong()
        val ownershipMoved = scope.async { cluster.leave(drainMs) }
        // Other members hand out this address until they know that this instance leaves, so the address TTL starts only then.
        cluster.awaitLeavingAcknowledged(drainMs - addressTtlMs)
        delay(addressTtlMs.coerceAtMost(drainMs))
        val requestsFinished = front.drain(drainMs)
        val allFinished = ownershipMoved.await() && requestsFinished
        cluster.endMembership(END_MEMBERSHIP_TIMEOUT_MS)
        cluster.close()
        network.close()
        admin.close()
        front.close()
        scope.cancel()
        http.close()
        return allFinished
    }

    private fun sendMarginMs() = settings.cluster.sendMarginMs.toLong()

    /**
     * Returns why the instance is not ready. A new member has no tokens of its own for [LOAN_MS], so without this wait it would refuse its
     * first requests whenever no peer lends it tokens.
     */
    private fun notReadyReasonOrNull(): String? {
        val blockingReason = if (draining) "the instance is shutting down" else cannotServeReasonOrNull()
        if (blockingReason != null) {
            servingSince = NOT_SERVING
        } else if (servingSince == NOT_SERVING) {
            servingSince = monotonicMs()
        }
        return blockingReason
            ?: "this instance has no share of the rate limits yet".takeIf { monotonicMs() - servingSince < LOAN_MS + READY_MARGIN_MS }
    }

    private fun cannotServeReasonOrNull(): String? {
        val ownMember = cluster.members().firstOrNull { it.instance == settings.instance.name }
        return when {
            snapshots.current().revision == 0L -> "no configuration has been read yet"
            ownMember == null || ownMember.state == Member.State.Joining -> "the instance is not an active member yet"
            else -> null
        }
    }

    private fun endCallsOfWithdrawnKeys(snapshot: Snapshot) {
        val endedCalls = running.endCallsOfWithdrawnKeys(snapshot)
        if (endedCalls > 0) log.event(Level.INFO, "calls-ended", "count" to endedCalls) { "ended running calls whose keys were withdrawn" }
    }

    private inner class ClusterEventHandler : ClusterListener {
        override fun onLeaseGained() = log.event(Level.INFO, "lease-gained") { "the lease is valid" }

        override fun onLeaseLapsed() = log.event(Level.WARN, "lease-lapsed") { "the lease has expired; no requests are admitted" }

        override fun onIsolated() {
            val endedCalls = running.endAllOnIsolation()
            targets.owner.abortRunning("isolated")
            log.event(Level.WARN, "isolated", "count" to endedCalls) { "the platform and peers are unreachable; running calls are ended" }
        }

        override fun onNewerSnapshot(
            peer: String,
            revision: Long,
        ) {
            snapshots.onPeerRevision(peer, revision)
        }
    }

    private fun frontLimits() = HttpServerLimits(
        maxConnections = settings.http.maxConnections,
        maxHeaderBytes = settings.http.maxHeaderBytes,
        maxBodyBytes = settings.http.maxBodyBytes,
        maxBufferedBytes = settings.http.maxBufferedBytes,
        readTimeoutMs = settings.http.readTimeoutMs.toLong(),
        writeTimeoutMs = settings.http.writeTimeoutMs.toLong(),
        idleTimeoutMs = settings.http.idleTimeoutMs.toLong(),
    )

    private fun createFront(): FrontHandler {
        val metrics = FrontMetrics(registry)
        val timeoutMs = settings.target.requestTimeoutMs.toLong()
        val callSettings = ModelCallSettings(settings.quota.defaultMaxTokens, timeoutMs)
        val models = ModelCalls(limiter, targets.dispatcher, running, metrics, callSettings, ::monotonicMs)
        val serviceSettings = ServiceCallSettings(settings.target.idleTimeoutMs.toLong(), timeoutMs)
        val services =
            ServiceCalls(http, replicas, limiter, LedgerRunner(ledger.calls::call), running, metrics, serviceSettings, ::monotonicMs)
        val verifier = KeyVerifier { snapshot, key -> checkKeyOrNull(key, snapshot.keys)?.id }
        return FrontHandler(
            snapshots,
            verifier,
            cluster,
            targets.dispatcher,
            models,
            services,
            settings.http.addressTtlMs,
            ::cannotServeReasonOrNull,
        )
    }

    private fun createAdmin() = AdminHandler(
        registry,
        ::notReadyReasonOrNull,
        listOf(
            DumpSection("instance", ::instanceDump),
            DumpSection("cluster") { Json.encodeToJsonElement(ClusterDump.serializer(), cluster.dump()) },
            DumpSection("snapshot", snapshots::dump),
            DumpSection("quota") { Json.encodeToJsonElement(limiter.dump()) },
            DumpSection("targets") { Json.encodeToJsonElement(targets.dump()) },
            DumpSection("ledger") { Json.encodeToJsonElement(ledger.owner.dump()) },
        ),
    )

    private fun instanceDump() = JsonObject(
        mapOf(
            "name" to JsonPrimitive(settings.instance.name),
            "dataCentre" to JsonPrimitive(settings.instance.dataCentre),
            "notReady" to JsonPrimitive(notReadyReasonOrNull()),
            "runningCalls" to JsonPrimitive(running.count),
        ),
    )

    private companion object {
        const val READY_POLL_INTERVAL_MS = 20L
        const val MAX_ADMIN_CONNECTIONS = 64
        const val END_MEMBERSHIP_TIMEOUT_MS = 2_000L
        const val NOT_SERVING = Long.MIN_VALUE

        /** Time to accumulate the first tokens after [LOAN_MS]; 100 ms yield one request at a rate of 10 requests per second. */
        const val READY_MARGIN_MS = 100L
    }
}
