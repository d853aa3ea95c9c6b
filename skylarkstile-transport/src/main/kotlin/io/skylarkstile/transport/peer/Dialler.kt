/*
 * Keeps a link to one peer open: connects, does the handshake, runs the link and reconnects with backoff.
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

/** Keeps connecting to [peer] at [address] until it is stopped. */
internal class Dialler(
    val peer: String,
    val address: String,
    private val selector: SelectorManager,
    private val options: PeerOptions,
    private val incarnations: IncarnationRegistry,
    private val identity: () -> PeerIdentity,
) {
    @Volatile
    private var job: Job? = null

    @Volatile
    private var link: PeerLink? = null

    /** Session of the current link; `null` while there is none. */
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

    /** Closes the current link; the next connection attempt follows after the backoff. */
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
            // The backoff restarts after a link that was open for longer than the maximum backoff.
            if (options.now() - since > options.maxBackoffMs) backoffMs = options.firstBackoffMs
            delay(backoffMs / 2 + Random.nextLong(backoffMs))
            backoffMs = minOf(backoffMs * 2, options.maxBackoffMs)
        }
    }

    /** Connects once and returns why the link ended. */
    private suspend fun dialOnce(): String = try {
        val socket = withTimeoutOrNull(options.silenceMs) { connect() }
        if (socket == null) "no connection within ${options.silenceMs} ms" else runLink(socket)
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

    private suspend fun runLink(socket: Socket): String = socket.use {
        val localIdentity = identity()
        val newLink = PeerLink(socket, options, sendsPings = true)
        val problem =
            withTimeoutOrNull(options.silenceMs) { handshake(newLink, localIdentity) } ?: "no reply to Hello within ${options.silenceMs} ms"
        when {
            problem.isNotEmpty() -> problem
            localIdentity != identity() -> "this instance has a new incarnation"
            else -> serve(newLink)
        }
    }

    /** Does the handshake; returns the problem, or an empty string on success. */
    private suspend fun handshake(
        newLink: PeerLink,
        localIdentity: PeerIdentity,
    ): String {
        newLink.writeNow(frame(helloKind, 0, localIdentity.hello()))
        val reply = expect(helloReplyKind, newLink.read())
        peerIncarnation = reply.incarnation
        return replyProblemOrNull(peer, reply, localIdentity, incarnations).orEmpty()
    }

    private suspend fun serve(newLink: PeerLink): String {
        val running = DialledSession(peer, newLink, options)
        var reason = "stopped"
        link = newLink
        session = running
        log.event(Level.INFO, "link-up", "peer" to peer, "address" to address) { "link to $peer is up" }
        try {
            reason = newLink.run { running.handle(it) }
            return reason
        } finally {
            session = null
            link = null
            running.failPending(reason)
        }
    }
}

/** Splits `ip:port`; IPv6 addresses are written in brackets. */
internal fun hostAndPort(address: String): Pair<String, Int> {
    val at = address.lastIndexOf(':')
    require(at > 0) { "address $address has no port" }
    return address.substring(0, at).removeSurrounding("[", "]") to address.substring(at + 1).toInt()
}
