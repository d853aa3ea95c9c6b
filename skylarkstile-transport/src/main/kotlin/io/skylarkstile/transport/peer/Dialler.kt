/*
 * Keeps a link to one peer: dials, shakes hands, runs the link and dials anew with backoff.
 */
package io.skylarkstile.transport.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.skylarkstile.config.log.event
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Dials [peer] at [address] until it is stopped. */
internal class Dialler(
    val peer: String,
    val address: String,
    private val selector: SelectorManager,
    private val options: PeerOptions,
    private val incarnations: Incarnations,
    private val identity: () -> Identity,
) {
    @Volatile
    private var job: Job? = null

    @Volatile
    private var link: PeerLink? = null

    /** The session of the live link. */
    @Volatile
    var session: DialledSession? = null
        private set

    @Volatile
    private var lastEnd: String? = null

    /** Incarnation of the peer at the other end of the last link. */
    @Volatile
    var peerIncarnation: Long = 0
        private set

    fun start(scope: CoroutineScope) {
        job = scope.launch { dialForever() }
    }

    fun stop(reason: String) {
        close(reason)
        job?.cancel()
    }

    /** Ends the current link; the next one is dialled at once. */
    fun close(reason: String) {
        link?.close(reason)
    }

    fun dump(): LinkDump {
        val s = session
        val received = link?.let { options.now() - it.lastReceived }
        return LinkDump(peer, address, dialled = true, connected = s != null, received, s?.running() ?: 0, lastEnd)
    }

    private suspend fun dialForever() {
        var backoffMs = options.firstBackoffMs
        while (true) {
            val since = options.now()
            val reason = dialOnce()
            if (reason !=
                lastEnd
            ) {
                log.event(Level.INFO, "link-ended", "peer" to peer, "address" to address) { "link to $peer ended: $reason" }
            }
            lastEnd = reason
            // A link that lived for a while starts the backoff again.
            if (options.now() - since > options.maxBackoffMs) backoffMs = options.firstBackoffMs
            delay(backoffMs / 2 + Random.nextLong(backoffMs))
            backoffMs = minOf(backoffMs * 2, options.maxBackoffMs)
        }
    }

    /** Dials once and returns why the link ended. */
    private suspend fun dialOnce(): String = try {
        val socket = withTimeoutOrNull(options.silenceMs) { connect() }
        if (socket == null) "no connection in ${options.silenceMs} ms" else runOn(socket)
    } catch (e: CancellationException) {
        currentCoroutineContext().ensureActive()
        "cancelled: ${e.message}"
    } catch (e: Exception) {
        e.message ?: e::class.java.simpleName
    }

    private suspend fun connect(): Socket {
        val (host, port) = hostAndPort(address)
        return aSocket(selector).tcp().connect(host, port) { noDelay = true }
    }

    private suspend fun runOn(socket: Socket): String = socket.use {
        val me = identity()
        val fresh = PeerLink(socket, options, pings = true)
        val finding = withTimeoutOrNull(options.silenceMs) { greet(fresh, me) } ?: "no reply to Hello in ${options.silenceMs} ms"
        when {
            finding.isNotEmpty() -> finding
            me != identity() -> "this instance has a new incarnation"
            else -> serve(fresh)
        }
    }

    /** Shakes hands; returns what is wrong, or an empty text. */
    private suspend fun greet(
        fresh: PeerLink,
        me: Identity,
    ): String {
        fresh.writeNow(frame(helloKind, 0, me.hello()))
        val reply = expect(helloReplyKind, fresh.read())
        peerIncarnation = reply.incarnation
        return findingOrNull(peer, reply, me, incarnations).orEmpty()
    }

    private suspend fun serve(fresh: PeerLink): String {
        val running = DialledSession(peer, fresh, options)
        var reason = "stopped"
        link = fresh
        session = running
        log.event(Level.INFO, "link-up", "peer" to peer, "address" to address) { "link to $peer is up" }
        try {
            reason = fresh.run { running.handle(it) }
            return reason
        } finally {
            session = null
            link = null
            running.fail(reason)
        }
    }
}

/** Splits `ip:port`; IPv6 addresses are written in brackets. */
internal fun hostAndPort(address: String): Pair<String, Int> {
    val at = address.lastIndexOf(':')
    require(at > 0) { "address $address has no port" }
    return address.substring(0, at).removeSurrounding("[", "]") to address.substring(at + 1).toInt()
}
