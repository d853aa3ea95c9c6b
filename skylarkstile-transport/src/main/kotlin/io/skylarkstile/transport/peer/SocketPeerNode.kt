/*
 * Peer network on TCP sockets: accepts links, keeps one dialler per peer and selects the session for each message.
 */
package io.skylarkstile.transport.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.toJavaAddress
import io.skylarkstile.config.log.event
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.Hello
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetSocketAddress

private val log = KotlinLogging.logger {}

/** Pause after a failed accept in milliseconds; it avoids a busy loop when file descriptors run out. */
private const val ACCEPT_RETRY_MS = 50L

/** Implements [PeerNode] with TCP sockets. */
internal class SocketPeerNode(
    initialIdentity: PeerIdentity,
    private val options: PeerOptions,
) : PeerNode {
    private class AcceptedLink(
        val hello: Hello,
        val link: PeerLink,
        val session: AcceptedSession,
        val address: String,
    )

    private val scope = CoroutineScope(SupervisorJob() + options.dispatcher)
    private val selector = SelectorManager(options.dispatcher)
    private val handlers = MessageHandlers()
    private val incarnations = IncarnationRegistry()
    private val lock = Any()
    private val accepted = HashMap<String, AcceptedLink>()

    @Volatile
    private var diallers: Map<String, Dialler> = emptyMap()

    @Volatile
    private var identity = initialIdentity

    @Volatile
    private var closing = false

    private lateinit var server: ServerSocket

    override val address: String
        get() = (server.localAddress.toJavaAddress() as InetSocketAddress).let { "${it.address.hostAddress}:${it.port}" }

    suspend fun listen(listenAddress: String) {
        val (host, port) = hostAndPort(listenAddress)
        server = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        scope.launch { acceptAll() }
    }

    private suspend fun acceptAll() {
        while (!closing) {
            try {
                val socket = server.accept()
                scope.launch { serve(socket) }
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                if (closing) return
                log.event(Level.WARN, "link-accept-failed") { "accepting a link failed: ${e.message}" }
                delay(ACCEPT_RETRY_MS)
            }
        }
    }

    private suspend fun serve(socket: Socket) {
        val remote = socket.remoteAddress.toJavaAddress().toString()
        try {
            socket.use {
                val link = PeerLink(socket, options, sendsPings = false)
                val hello = withTimeoutOrNull(options.silenceMs) { handshakeOrNull(link) } ?: return
                val session = AcceptedSession(hello.instance, link, handlers, options)
                run(AcceptedLink(hello, link, session, remote))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.event(Level.INFO, "link-failed", "remote" to remote) { "link from $remote failed: ${e.message}" }
        }
    }

    private suspend fun handshakeOrNull(link: PeerLink): Hello? {
        val hello = expect(helloKind, link.read())
        val reply = replyTo(hello, identity, incarnations)
        link.writeNow(frame(helloReplyKind, 0, reply))
        if (reply.refused == null) return hello
        log.event(Level.INFO, "link-refused", "peer" to hello.instance) { "link from ${hello.instance} refused: ${reply.refused}" }
        return null
    }

    private suspend fun run(entry: AcceptedLink) {
        val name = entry.hello.instance
        val old = synchronized(lock) { accepted.put(name, entry) }
        // The other side connects again only after its previous link has ended, so the old link is dead.
        old?.link?.close("replaced by a newer link")
        try {
            // A newer incarnation may have been recorded since the handshake.
            if (!incarnations.tryAdvance(name, entry.hello.incarnation)) return
            val reason = entry.link.run { entry.session.handle(this, it) }
            log.event(Level.INFO, "accepted-link-ended", "peer" to name) { "link from $name ended: $reason" }
        } finally {
            synchronized(lock) { accepted.remove(name, entry) }
        }
    }

    override fun setPeers(peers: Map<String, String>) {
        val (added, removed) =
            synchronized(lock) {
                val old = diallers
                val next =
                    peers.filterKeys { it != identity.self }.mapValues { (peer, peerAddress) ->
                        old[peer]?.takeIf { it.address == peerAddress }
                            ?: dialler(peer, peerAddress)
                    }
                diallers = next
                next.values.filter { old[it.peer] !== it } to old.values.filter { next[it.peer] !== it }
            }
        removed.forEach { it.stop("${it.peer} at ${it.address} is no longer a peer") }
        added.forEach { it.start(scope) }
    }

    private fun dialler(
        peer: String,
        peerAddress: String,
    ) = Dialler(peer, peerAddress, selector, options, incarnations) { identity }

    override fun requireIncarnation(
        instance: String,
        incarnation: Long,
    ) {
        incarnations.tryAdvance(instance, incarnation)
        val old = synchronized(lock) { accepted[instance] }
        if (old != null && old.hello.incarnation < incarnation) old.link.close("incarnation ${old.hello.incarnation} is outdated")
        diallers[instance]
            ?.takeIf {
                it.peerIncarnation < incarnation
            }?.close("the peer's incarnation is outdated; the required one is $incarnation")
    }

    override fun renew(incarnation: Long) {
        val openLinks =
            synchronized(lock) {
                identity = identity.copy(incarnation = incarnation)
                accepted.values.toList()
            }
        openLinks.forEach { it.link.close("this instance has a new incarnation") }
        diallers.values.forEach { it.close("this instance has a new incarnation") }
    }

    override fun dump(): List<LinkDump> {
        val openLinks = synchronized(lock) { accepted.values.toList() }
        val now = options.now()
        return diallers.values.map { it.dump() } +
            openLinks.map { LinkDump(it.hello.instance, it.address, false, true, now - it.link.lastReceived, it.session.running(), null) }
    }

    override fun connected(): Set<String> = diallers.filterValues { it.session != null }.keys

    private fun noLink(to: String) = PeerError.NotSent("no link to $to")

    override suspend fun <Q, A> call(
        to: String,
        kind: MessageKind<Q>,
        message: Q,
        answer: MessageKind<A>,
        timeoutMs: Long,
    ): Result<A, PeerError> = diallers[to]?.session?.call(kind, message, answer, timeoutMs) ?: Err(noLink(to))

    override fun <T> send(
        to: String,
        kind: MessageKind<T>,
        message: T,
    ): Result<Unit, PeerError> = diallers[to]?.session?.send(kind, message) ?: Err(noLink(to))

    override fun <Q, A> answer(
        kind: MessageKind<Q>,
        answer: MessageKind<A>,
        handler: suspend (from: String, message: Q) -> A,
    ) {
        handlers.calls[kind.name] = { from, id, body -> frame(answer, id, handler(from, decodeOrThrow(kind.serializer, body))) }
    }

    override fun <T> receive(
        kind: MessageKind<T>,
        handler: (from: String, message: T) -> Unit,
    ) {
        handlers.receivers[kind.name] = { from, body ->
            val message = decodeOrThrow(kind.serializer, body)
            try {
                handler(from, message)
            } catch (e: Exception) {
                log.event(
                    Level.WARN,
                    "peer-message-failed",
                    "kind" to kind.name,
                    "peer" to from,
                    cause = e,
                ) { "handling a ${kind.name} message failed" }
            }
        }
    }

    override fun dispatch(
        to: String,
        request: Dispatch,
    ): Flow<DispatchEvent> = flow {
        val session = diallers[to]?.session
        emitAll(session?.dispatch(request) ?: flowOf(linkFailureEnd(DispatchEnd.Outcome.NotRun, noLink(to).detail)))
    }

    override fun onDispatch(runner: (from: String, request: Dispatch) -> Flow<DispatchEvent>) {
        handlers.runner = runner
    }

    override fun close() {
        closing = true
        diallers.values.forEach { it.stop("closing") }
        synchronized(lock) { accepted.values.toList() }.forEach { it.link.close("closing") }
        server.close()
        scope.cancel()
        selector.close()
    }
}
