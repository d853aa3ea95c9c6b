/*
 * Wires up one gateway instance: sockets, store watches, periodic work and graceful shutdown.
 */
package io.skylarkstile.gateway.main

import com.github.michaelbull.result.get
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.util.internal.PlatformDependent
import io.skylarkstile.config.log.event
import io.skylarkstile.core.placement.Popularity
import io.skylarkstile.gateway.adapter.AdapterManager
import io.skylarkstile.gateway.adapter.AdapterPlacement
import io.skylarkstile.gateway.adapter.TargetClient
import io.skylarkstile.gateway.admission.CallAdmission
import io.skylarkstile.gateway.admission.FleetStatus
import io.skylarkstile.gateway.admission.Freshness
import io.skylarkstile.gateway.admission.QuotaTolerance
import io.skylarkstile.gateway.admission.SuspensionDetector
import io.skylarkstile.gateway.admission.WorkspaceShares
import io.skylarkstile.gateway.http.ConnectionLimiter
import io.skylarkstile.gateway.http.ControlClient
import io.skylarkstile.gateway.http.MAX_STORE_RESPONSE_BYTES
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.gateway.membership.InstanceSet
import io.skylarkstile.gateway.membership.Membership
import io.skylarkstile.gateway.membership.OrderLease
import io.skylarkstile.gateway.membership.formatAddress
import io.skylarkstile.gateway.membership.peerRecordOrNull
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.GatewaySettings
import io.skylarkstile.gateway.peer.FleetCrashReports
import io.skylarkstile.gateway.peer.FleetWatchTiming
import io.skylarkstile.gateway.peer.PeerExchange
import io.skylarkstile.gateway.peer.PeerHost
import io.skylarkstile.gateway.peer.PeerSocket
import io.skylarkstile.gateway.peer.PeerViews
import io.skylarkstile.gateway.peer.changesSourceOf
import io.skylarkstile.gateway.peer.livenessCheck
import io.skylarkstile.gateway.peer.serveChanges
import io.skylarkstile.gateway.relay.BodyBudget
import io.skylarkstile.gateway.relay.CallCodec
import io.skylarkstile.gateway.relay.CallerConnection
import io.skylarkstile.gateway.relay.HeadBudget
import io.skylarkstile.gateway.relay.RelayContext
import io.skylarkstile.gateway.relay.TargetConnectionPool
import io.skylarkstile.gateway.store.ChangesSource
import io.skylarkstile.gateway.store.RecordDecoder
import io.skylarkstile.gateway.store.SharedStore
import io.skylarkstile.gateway.store.StoreKind
import io.skylarkstile.gateway.store.StoreListener
import io.skylarkstile.gateway.store.StoreWatch
import io.skylarkstile.gateway.store.StoredObject
import io.skylarkstile.gateway.store.WatchTiming
import io.skylarkstile.gateway.target.TargetProber
import io.skylarkstile.gateway.target.TargetSelector
import io.skylarkstile.gateway.target.TargetState
import io.skylarkstile.gateway.target.TargetTable
import io.skylarkstile.schema.generated.GatewayDatagram
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Intervals of periodic work, in milliseconds; a large fleet, whose messages are less frequent, uses the longer fleet interval. */
private const val TICK_MS = 50L
private const val FLEET_TICK_MS = 125L
private const val SLOW_TICK_MS = 250L

/** Maximum wait of an aggregator's watch, and maximum age of a peer's view that is relied on, as shares of the drain bound. */
private const val AGGREGATOR_WAIT_SHARE = 0.15
private const val PEER_VIEW_AGE_SHARE = 0.75

/**
 * The same for evacuations, as shares of the evacuation bound. Older views than the maximum would leave no time to close one target after the
 * other.
 */
private const val EVACUATION_WAIT_SHARE = 0.1
private const val EVACUATION_VIEW_AGE_SHARE = 0.45

/** A target that is removed soon after an outage of the store gets no calls from this long before the drain bound on, in milliseconds. */
private const val REMOVAL_MARGIN_MS = 300L

/** The same for instance and version records, in milliseconds: shorter than the time for which a confirmation permits orders. */
private const val RECORD_WAIT_MS = 800L
private const val RECORD_AGE_MS = 3_000L

/** Changes of targets within this share of the drain bound are read in one call, since each call to the store has a cost. */
private const val TARGET_PAUSE_SHARE = 0.4

/**
 * Changes of instance and version records within this time are read in one call, in milliseconds. When many instances start, each
 * writes its record, and every write would otherwise cost every instance a call.
 */
private const val RECORD_PAUSE_MS = 400L

/** Keys are refused this long before the configuration reaches the maximum age set by the revocation bound, in milliseconds. */
private const val KEY_MARGIN_MS = 700L

/** Write buffer watermarks of a caller connection: above the high one, reading from the call's target pauses. */
private const val WRITE_LOW_BYTES = 16 * 1024
private const val WRITE_HIGH_BYTES = 64 * 1024
private const val BACKLOG = 1_024

/** Provides what an instance needs from the platform integration. */
class PlatformIntegration(
    val codec: CallCodec,
    val records: RecordDecoder,
    val store: SharedStore,
    val targetClient: TargetClient,
)

/** Runs one instance on [loop]; all functions except [start] have to be called there. */
class Gateway(
    private val settings: GatewaySettings,
    private val loop: EventLoop,
    private val scheduler: Scheduler,
    private val platform: PlatformIntegration,
    startedAt: Long,
    private val random: Random,
) {
    private val self =
        InstanceRecord(
            settings.instance,
            settings.dataCentre,
            settings.callerListener,
            settings.peerListener,
            startedAt,
            emptySet(),
            settings.linkMbps,
        )
    private val views = PeerViews()
    private val peerClient = ControlClient(loop, scheduler, MAX_STORE_RESPONSE_BYTES)
    private val targets = TargetTable()
    private val shares =
        WorkspaceShares(QuotaTolerance(settings.bounds.quotaOverage, settings.bounds.quotaSlack, settings.bounds.quotaWindowMs))
    private val popularity = Popularity(POPULARITY_HALF_LIFE_MS)
    private val keyFreshness = Freshness(settings.bounds.revokeMs - KEY_MARGIN_MS)
    private val lease = OrderLease(settings.instance, settings.bounds.leaseMs)
    private val metrics = GatewayMetrics()
    private val pool = TargetConnectionPool(loop, scheduler, platform.codec, metrics)
    private val selector = TargetSelector(settings.dataCentre, random::nextDouble)
    private val socket = PeerSocket(settings.linkMbps, scheduler, ::receive)
    private val exchange: PeerExchange =
        PeerExchange(
            self,
            scheduler,
            targets,
            shares,
            popularity,
            lease,
            views,
            GatewayPeerHost(),
            socket::send,
        )
    private val crashReports = FleetCrashReports(self, scheduler, targets, pool::checkReachable, socket::send)
    private val serving: RelayContext =
        RelayContext(
            settings.bounds,
            scheduler,
            platform.codec,
            pool,
            targets,
            selector,
            AdapterPlacement(selector),
            CallAdmission(shares, keyFreshness, exchange.tokens, ::checkSuspension),
            exchange,
            exchange.permits,
            crashReports,
            metrics,
            BodyBudget(PlatformDependent.maxDirectMemory()),
            HeadBudget(Runtime.getRuntime().maxMemory()),
            random::nextDouble,
        )
    private val adapterManager =
        AdapterManager(
            settings.instance,
            lease,
            targets,
            platform.targetClient,
            GatewayFleetView(serving, exchange, ::checkSuspension),
            popularity,
            scheduler,
            { serving.metrics.recordOrder(it) },
            ::ownTargetChanged,
        )
    private val prober = TargetProber(targets, ::probe, scheduler::now) { serving.targetUnresponsive(it) }
    private val membership =
        Membership(self, platform.store, scheduler, lease, ::targetIds, exchange, livenessCheck(peerClient), ::applySet, ::relistSet)
    private val suspension = SuspensionDetector(scheduler.now(), System.currentTimeMillis())
    private val callers = ConnectionLimiter<CallerConnection>(settings.connections.callers, metrics::recordEviction)
    private var slowTickAt = 0L
    private var serverChannel: Channel? = null

    private inner class Gauges : GatewayGauges {
        override val runningCalls: Int get() = serving.runningCalls
        override val waitingCalls: Int get() = serving.waitingCalls
        override val instances: Int get() = serving.instanceCount
        override val suspectedTargets: Int get() = scheduler.now().let { now -> targets.all.count { it.isSuspected(now) } }
        override val limitedTargets: Int get() = scheduler.now().let { now -> targets.all.count { it.isLimited(now) } }
        override val coldTargets: Int get() = scheduler.now().let { now -> targets.all.count { it.callLimit.cold.isCold(now) } }
        override val evacuatedDataCentres: Int get() = targets.evacuatedDataCentres.size
        override val departingTargets: Int get() = targets.all.count { it.isDeparting && !it.isEvacuated }
        override val leavingTargets: Int get() = targets.all.count { it.availability.isLeaving }
        override val pausedTargets: Int get() = scheduler.now().let { now -> targets.all.count { it.availability.isPaused(now) } }
        override val blockedParts: Int get() = crashReports.blockedParts()
        override val bodyBytes: Long get() = serving.bodies.reservedBytes
        override val headBytes: Long get() = serving.heads.reservedBytes
        override val callerConnections: Int get() = callers.size
        override val configurationAgeMs: Long? get() = keyFreshness.ageOrNull(scheduler.now())
    }

    private inner class GatewayPeerHost : PeerHost {
        override val isLeaving: Boolean get() = serving.isLeaving
        override val isReady: Boolean get() = this@Gateway.isReady()

        override fun checkSuspension() = this@Gateway.checkSuspension()

        override fun adaptersChanged(target: TargetState) = serving.adaptersChanged(target.id)

        override fun changesSourceOf(peer: InstanceRecord): ChangesSource = changesSourceOf(peerClient, peer.peers)

        override fun relistSet() = this@Gateway.relistSet()
    }

    /** Opens all sockets and starts to follow the store. Must not be called on the event loop, since it waits for the binds. */
    fun start() {
        exchange.adapterManager = adapterManager
        serving.metrics.register(Gauges())
        socket.bind(loop, settings.peerListener)
        serveChanges(loop, settings.peerListener, views)
        serverChannel = listen()
        loop.execute(::startOnLoop)
    }

    private fun startOnLoop() {
        val drainMs = settings.bounds.drainMs
        val aggregatorWaitMs = (drainMs * AGGREGATOR_WAIT_SHARE).toLong()
        val urgentAgeMs = (drainMs * PEER_VIEW_AGE_SHARE).toLong()
        follow(
            StoreKind.Configuration,
            ConfigurationListener(platform.records, keyFreshness::confirm, ::applyConfiguration),
            FleetWatchTiming(exchange, 0, aggregatorWaitMs, urgentAgeMs),
        )
        follow(
            StoreKind.Targets,
            TargetListener(platform.records, targets, ::removeTarget, ::targetsChanged),
            FleetWatchTiming(
                exchange,
                (drainMs * TARGET_PAUSE_SHARE).toLong(),
                aggregatorWaitMs,
                urgentAgeMs,
                maxOf(0, drainMs - REMOVAL_MARGIN_MS),
            ),
        ) { platform.records.target(it).get() }
        settings.bounds.evacuationMs?.let(::followEvacuations)
        val recordTiming = FleetWatchTiming(exchange, RECORD_PAUSE_MS, RECORD_WAIT_MS, RECORD_AGE_MS)
        follow(StoreKind.AdapterVersions, VersionListener(platform.records, serving.adapterVersions), recordTiming)
        follow(StoreKind.Instances, membership, recordTiming, ::peerRecordOrNull)
        scheduler.after(TICK_MS, ::tick)
        log.event(
            Level.INFO,
            "started",
            "instance" to settings.instance,
            "dataCentre" to settings.dataCentre,
            "callers" to formatAddress(settings.callerListener),
        ) {
            "started"
        }
    }

    /** Follows the evacuations of data centres, whose targets must get no calls [boundMs] after the store has accepted an evacuation. */
    private fun followEvacuations(boundMs: Long) = follow(
        StoreKind.Evacuations,
        EvacuationListener(platform.records, targets, settings.dataCentres, boundMs),
        FleetWatchTiming(exchange, 0, (boundMs * EVACUATION_WAIT_SHARE).toLong(), (boundMs * EVACUATION_VIEW_AGE_SHARE).toLong()),
    )

    /** Applies changed [settings] as far as possible without a restart; the name and the addresses need one. */
    fun reconfigure(settings: GatewaySettings) {
        val bounds = settings.bounds
        serving.bounds = bounds
        keyFreshness.maxAgeMs = bounds.revokeMs - KEY_MARGIN_MS
        lease.leaseMs = bounds.leaseMs
        shares.updateTolerance(QuotaTolerance(bounds.quotaOverage, bounds.quotaSlack, bounds.quotaWindowMs))
        val needsRestart = settings.copy(bounds = this.settings.bounds) != this.settings
        log.event(Level.INFO, "settings-applied", "needsRestart" to needsRestart) { "applied changed settings" }
    }

    /** Returns whether this instance accepts new callers. */
    fun isReady(): Boolean = !serving.isLeaving && serving.configuration != null && keyFreshness.isFresh(scheduler.now())

    /** Returns the addresses for callers: those of the ready instances or, if none is ready, of all present ones that aren't leaving. */
    fun callerAddresses(): List<String> {
        val now = scheduler.now()
        val ready = (if (isReady()) listOf(settings.callerListener) else emptyList()) + exchange.readyAddresses(now)
        val present = (if (serving.isLeaving) emptyList() else listOf(settings.callerListener)) + exchange.presentAddresses(now)
        // Callers use the first addresses of a long list, so the order is shuffled to spread them.
        return ready.ifEmpty { present }.shuffled(random).map(::formatAddress)
    }

    /**
     * Announces to callers and peers that this instance is leaving and ends its calls at [callsEndAt]. New calls are still served while
     * callers move to other instances.
     */
    fun beginDrain(callsEndAt: Long) {
        serving.isLeaving = true
        serving.callsEndAt = callsEndAt
        exchange.tick()
        exchange.changed()
        log.event(Level.INFO, "leaving", "calls" to serving.runningCalls) { "leaving" }
    }

    /** Refuses new calls, since there is no time left to finish them. */
    fun refuseCalls() {
        serving.isRefusingCalls = true
    }

    /** Ends all running calls. */
    fun stopCalls() = serving.stopCalls()

    /** Closes the connections that have no running call; returns true if no calls are running. */
    fun closeIdleConnections(): Boolean {
        callers.all.forEach { it.closeIfIdle() }
        return serving.runningCalls == 0
    }

    /** Stops accepting connections, and stops membership. */
    fun stopListening() {
        serverChannel?.close()
        membership.stop()
    }

    /** Returns all metrics in the Prometheus text form. */
    fun metrics(): String = serving.metrics.text()

    /** Returns the current state as text for the state dump. */
    fun dump(): String {
        val now = scheduler.now()
        val lines =
            targets.all.map {
                "${it.id} ${it.entry.service} own=${it.ownWeight} peers=${it.otherInstancesWeight} " +
                    "limit=${it.callLimit.callsPerSecond} coldMs=${it.callLimit.cold.remainingMs(now)} evacuated=${it.isEvacuated} " +
                    "leaving=${it.availability.isLeaving} " +
                    "blockedMs=${it.availability.blockedUntilOrNull(now)?.minus(now)} adapters=${it.adapters}"
            }
        val state =
            "instances ${membership.instanceSet.members.keys} keysAgeMs=${keyFreshness.ageOrNull(now)} waiting=${serving.waitingCalls} " +
                "blockedParts=${crashReports.blockedParts()} evacuatedDataCentres=${targets.evacuatedDataCentres.sorted()}"
        return (listOf(state) + lines).joinToString("\n")
    }

    private fun receive(datagram: GatewayDatagram) {
        exchange.receive(datagram)
        crashReports.receive(datagram)
    }

    private fun applySet(set: InstanceSet) {
        exchange.apply(set)
        crashReports.apply(set)
    }

    private fun targetIds(): List<String> = targets.all.map { it.id }

    /** Lists the instances again after a record turned out to be newer than the view, which omits changes irrelevant to other instances. */
    private fun relistSet() {
        views.watchOrNull(StoreKind.Instances)?.relist()
    }

    private fun follow(
        kind: StoreKind,
        listener: StoreListener,
        timing: WatchTiming,
        contentOf: (StoredObject) -> Any? = { null },
    ) {
        val watch = StoreWatch(kind, platform.store, scheduler, listener, timing, contentOf)
        views.add(kind, watch)
        watch.start()
    }

    private fun listen(): Channel = ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel::class.java)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
        .childHandler(
            object : ChannelInitializer<Channel>() {
                override fun initChannel(channel: Channel) {
                    val connection = CallerConnection(serving, channel, callers)
                    if (!callers.tryAdd(channel, connection)) return
                    channel.pipeline().addLast(connection.decoder, HttpResponseEncoder(), connection)
                }
            },
        ).bind(settings.callerListener)
        .sync()
        .channel()

    private fun tick() {
        checkSuspension()
        val now = scheduler.now()
        exchange.tick()
        targets.tick(now)
        prober.tick(now)
        if (now - slowTickAt >= SLOW_TICK_MS) slowTick(now)
        scheduler.after(if (exchange.isDirect) TICK_MS else FLEET_TICK_MS, ::tick)
    }

    private fun checkSuspension() {
        val now = scheduler.now()
        if (!suspension.check(now, System.currentTimeMillis())) return
        log.event(Level.WARN, "clocks-apart") { "the process was suspended or the system clock jumped" }
        keyFreshness.invalidate(now)
        lease.invalidate(now)
        views.invalidate(now)
    }

    private fun slowTick(now: Long) {
        slowTickAt = now
        removeExpiredTargets()
        serving.instanceCount = exchange.instances()
        views.tick()
        shares.rebalance(now, exchange.demandElsewhere(), FleetStatus(exchange.instances(), exchange.isFleetKnown(now), exchange.isDirect))
        membership.maintain()
        adapterManager.refresh()
        crashReports.tick(now)
        pool.closeExpired()
        val omitted = serving.callLogLimiter.takeOmitted()
        if (omitted > 0) log.event(Level.INFO, "lines-omitted", "lines" to omitted) { "log lines about calls were omitted" }
    }

    private fun probe(
        target: TargetState,
        done: (Boolean) -> Unit,
    ) {
        val service = serving.configuration?.services?.get(target.entry.service) ?: return done(false)
        platform.targetClient.probe(target.entry, service, done)
    }

    private fun ownTargetChanged(target: TargetState) {
        serving.adaptersChanged(target.id)
        exchange.changed(target)
    }

    private fun removeExpiredTargets() {
        if (targets.removeExpired(scheduler.now()).isNotEmpty()) lease.refresh(targetIds())
    }

    private fun targetsChanged() {
        targets.nextRemovalOrNull()?.let { scheduler.after(maxOf(0, it - scheduler.now()), ::removeExpiredTargets) }
        val now = scheduler.now()
        val services = serving.configuration?.services
        targets.all.filter { it.apply(services?.get(it.entry.service), now) }.forEach {
            log.event(Level.INFO, "target-cold", "target" to it.id, "coldMs" to it.entry.coldMs) { "target is cold, as its entry says" }
        }
        lease.refresh(targetIds())
        adapterManager.refresh()
    }

    private fun applyConfiguration(
        configuration: Configuration,
        now: Long,
    ) {
        serving.configuration = configuration
        shares.configure(now, configuration, exchange.instances())
        targetsChanged()
    }

    private fun removeTarget(
        id: String,
        now: Long,
        reappearUntil: Long?,
    ) {
        targets[id]?.let { pool.closeIdle(it.entry.address) }
        targets.remove(id, now, reappearUntil)
    }

    private companion object {
        /** Short enough to follow shifts of demand within seconds, long enough for adapters that are requested rarely. */
        const val POPULARITY_HALF_LIFE_MS = 15_000.0
    }
}
