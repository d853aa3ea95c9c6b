package io.skylarkstile.transport.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.DispatchEnd
import io.skylarkstile.schema.generated.Hello
import io.skylarkstile.schema.generated.Release
import io.skylarkstile.schema.generated.ReleaseReply
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.withContext
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private val options = PeerOptions(heartbeatMs = 100, firstBackoffMs = 10, maxBackoffMs = 50)

private suspend fun node(
    name: String,
    incarnation: Long = 1,
    options: PeerOptions = io.skylarkstile.transport.peer.options,
) = peerNetwork(name, incarnation, "test", "127.0.0.1:0", options)

private fun hello(
    incarnation: Long = 1,
    versions: List<Int> = listOf(1),
    cluster: String = "test",
) = Hello(versions = versions, cluster = cluster, instance = "raw", incarnation = incarnation)

private fun RawLink.reply() = expect(helloReplyKind, read())

private fun request(id: String = "r") = Dispatch(id, "t", "w", 1.0, "a", "1", "/a", "/v1/completions", ByteArray(3), true, 1_000, 0)

private val done = DispatchEvent.End(DispatchEnd(outcome = DispatchEnd.Outcome.Done))

private fun releaseOf(resource: String) = Release(rosterRevision = 1, resource = resource, pins = emptyList())

private suspend fun PeerNetwork.ask(to: String) = call(to, MessageKinds.release, releaseOf("x"), MessageKinds.releaseReply, 2_000)

private fun PeerNetwork.serveAsks() = answer(MessageKinds.release, MessageKinds.releaseReply) { _, _ -> ReleaseReply(rosterRevision = 2) }

/** Runs [block] with two linked nodes. */
private suspend fun linked(
    options: PeerOptions = io.skylarkstile.transport.peer.options,
    block: suspend (a: PeerNode, b: PeerNode) -> Unit,
) = node("a", options = options).use { a ->
    node("b", options = options).use { b ->
        a.setPeers(mapOf("b" to b.address))
        eventually(5.seconds) { a.connected() shouldContain "b" }
        block(a, b)
    }
}

class PeerLinkSpec :
    FunSpec({
        test("a call returns the answer of the other side") {
            linked { a, b ->
                b.serveAsks()
                a.ask("b").get()?.rosterRevision shouldBe 2
            }
        }

        test("a call without a link fails as not sent") {
            node("a").use { it.ask("b").getError().shouldBeInstanceOf<PeerError.NotSent>() }
        }

        test("a handler that fails answers with an error and keeps the link") {
            linked { a, b ->
                b.answer(MessageKinds.release, MessageKinds.releaseReply) { _, _ -> error("no such range") }
                val error = a.ask("b").getError()
                error.shouldBeInstanceOf<PeerError.NoAnswer>().detail shouldContain "no such range"
                b.serveAsks()
                a.ask("b").isOk shouldBe true
            }
        }

        test("an idle link stays open") {
            linked { a, b ->
                delay(10 * options.heartbeatMs)
                a.dump().single().lastEnd shouldBe null
                b.dump().size shouldBe 1
            }
        }

        test("a silent link is closed after three heartbeats and the peer reconnects") {
            RawPeer("raw") { it.endsWithin(10_000) }.use { raw ->
                node("a").use { a ->
                    a.setPeers(mapOf("raw" to raw.address))
                    eventually(5.seconds) { raw.links shouldBe 3 }
                    a
                        .dump()
                        .single()
                        .lastEnd
                        .orEmpty() shouldContain "silent"
                }
            }
        }

        test("an accepted link that goes silent is closed") {
            node("b").use { b ->
                rawLink(b.address, hello()).use { link ->
                    link.reply().refused shouldBe null
                    link.endsWithin(5_000) shouldBe true
                }
            }
        }

        test("malformed CBOR closes only its own link") {
            linked { a, b ->
                b.serveAsks()
                rawLink(b.address, hello()).use { link ->
                    link.reply()
                    link.writeBytes(byteArrayOf(0x5b, 0x7f, -1, -1, -1, -1, -1, -1, -1))
                    link.endsWithin(250) shouldBe true
                }
                a.ask("b").isOk shouldBe true
                a.dump().single().lastEnd shouldBe null
            }
        }

        test("a frame over the limit closes the link before it is read") {
            node("b").use { b ->
                for (size in listOf(options.maxFrameBytes + 1, 0, -1)) {
                    rawLink(b.address, hello()).use { link ->
                        link.reply()
                        link.writeSize(size)
                        link.endsWithin(250) shouldBe true
                    }
                }
            }
        }

        test("a message over the limit fails at the sender and keeps the link") {
            linked { a, b ->
                b.serveAsks()
                val big = releaseOf("x".repeat(options.maxFrameBytes))
                val error = a.call("b", MessageKinds.release, big, MessageKinds.releaseReply, 1_000).getError()
                error.shouldBeInstanceOf<PeerError.NotSent>()
                a.ask("b").isOk shouldBe true
            }
        }

        test("a call of an unknown kind closes the link, a one-way message does not") {
            node("b").use { b ->
                b.serveAsks()
                val unknown = MessageKind("Unheard", Release.serializer())
                val ask = releaseOf("x")
                rawLink(b.address, hello()).use { link ->
                    link.reply()
                    link.write(unknown, 0, ask)
                    link.write(MessageKinds.release, 7, ask)
                    link.readMessage().id shouldBe 7
                    link.write(unknown, 8, ask)
                    link.endsWithin(250) shouldBe true
                }
            }
        }

        test("an older incarnation, another cluster and an unknown version are refused") {
            node("b").use { b ->
                rawLink(b.address, hello(incarnation = 5)).use { it.reply().refused shouldBe null }
                rawLink(b.address, hello(incarnation = 4)).use { it.reply().refused.orEmpty() shouldContain "outdated" }
                rawLink(b.address, hello(5, cluster = "other")).use { it.reply().refused.orEmpty() shouldContain "cluster" }
                rawLink(b.address, hello(5, versions = listOf(2, 3))).use { it.reply().refused.orEmpty() shouldContain "version" }
            }
        }

        test("the highest common version is chosen") {
            node("b", options = options.copy(versions = listOf(1, 2, 3))).use { b ->
                rawLink(b.address, hello(versions = listOf(1, 2, 9))).use { it.reply().version shouldBe 2 }
            }
        }

        test("a newer incarnation ends the links of the older one in both directions") {
            RawPeer("raw", incarnation = 5) { link ->
                generateSequence {
                    link.read()
                }.forEach { link.write(MessageKinds.ping, 0, expect(MessageKinds.ping, it)) }
            }.use { raw ->
                node("a").use { a ->
                    a.setPeers(mapOf("raw" to raw.address))
                    eventually(5.seconds) { a.connected() shouldContain "raw" }
                    rawLink(a.address, hello(incarnation = 5)).use { link ->
                        link.reply()
                        a.requireIncarnation("raw", 6)
                        link.endsWithin(250) shouldBe true
                    }
                    eventually(1.seconds) {
                        a
                            .dump()
                            .single()
                            .lastEnd
                            .orEmpty() shouldContain "outdated"
                    }
                    a.connected().shouldBeEmpty()
                }
            }
        }

        test("an instance at the address of another one is not mistaken for it") {
            node("c").use { c ->
                node("a").use { a ->
                    a.setPeers(mapOf("b" to c.address))
                    eventually(5.seconds) {
                        a
                            .dump()
                            .single()
                            .lastEnd
                            .orEmpty() shouldContain "instead of b"
                    }
                }
            }
        }

        test("a forwarded request passes its events in order") {
            linked { a, b ->
                b.onDispatch { from, request ->
                    flow {
                        emit(DispatchEvent.Head(200, "text/plain"))
                        repeat(500) { emit(DispatchEvent.Chunk("$from${request.requestId}$it ".toByteArray())) }
                        emit(DispatchEvent.Chunk(ByteArray(3_000_000)))
                        emit(done)
                    }
                }
                val events = a.dispatch("b", request()).toList()
                val chunks = events.filterIsInstance<DispatchEvent.Chunk>()
                chunks.take(500).joinToString("") { it.data.decodeToString() } shouldBe (0 until 500).joinToString("") { "ar$it " }
                chunks.drop(500).sumOf { it.data.size } shouldBe 3_000_000
                events
                    .last()
                    .shouldBeInstanceOf<DispatchEvent.End>()
                    .end.outcome shouldBe DispatchEnd.Outcome.Done
            }
        }

        test("a collector that stops reading blocks only its own stream") {
            linked { a, b ->
                b.serveAsks()
                val sent = AtomicInteger()
                val cost = windowCost(ByteArray(10_000))
                // The last chunk that fits into the window may exceed it.
                val allowed = (options.streamWindowBytes + cost - 1) / cost
                b.onDispatch { _, _ ->
                    flow {
                        emit(DispatchEvent.Head(200, "text/event-stream"))
                        while (true) emit(DispatchEvent.Chunk(ByteArray(10_000))).also { sent.incrementAndGet() }
                    }
                }
                coroutineScope {
                    val slow = async { a.dispatch("b", request()).onEach { if (it is DispatchEvent.Chunk) awaitCancellation() }.collect() }
                    eventually(5.seconds) { sent.get() shouldBe allowed }
                    delay(5 * options.heartbeatMs)
                    repeat(20) { a.ask("b").isOk shouldBe true }
                    sent.get() shouldBe allowed
                    slow.cancel()
                }
                eventually(2.seconds) { b.dump().single().running shouldBe 0 }
            }
        }

        test("cancelling the collector cancels the request on the other side") {
            linked { a, b ->
                val over = CompletableDeferred<Unit>()
                b.onDispatch { _, _ ->
                    flow {
                        try {
                            emit(DispatchEvent.Head(200, "text/plain"))
                            awaitCancellation()
                        } finally {
                            over.complete(Unit)
                        }
                    }
                }
                a.dispatch("b", request()).first().shouldBeInstanceOf<DispatchEvent.Head>()
                eventually(2.seconds) { over.isCompleted shouldBe true }
            }
        }

        test("a request whose link fails ends as unknown, one without a link as not run") {
            linked { a, b ->
                b.onDispatch { _, _ -> flow { emit(DispatchEvent.Head(200, "text/plain")).also { awaitCancellation() } } }
                coroutineScope {
                    val events = async { a.dispatch("b", request()).toList() }
                    eventually(2.seconds) { b.dump().single().running shouldBe 1 }
                    withContext(Dispatchers.IO) { b.close() }
                    events.await().endOutcome() shouldBe DispatchEnd.Outcome.Unknown
                }
                eventually(2.seconds) { a.connected().shouldBeEmpty() }
                a.dispatch("b", request()).toList().endOutcome() shouldBe DispatchEnd.Outcome.NotRun
            }
        }

        test("a runner that fails or does not end its flow ends as unknown") {
            linked { a, b ->
                b.onDispatch { _, _ -> flow { error("broken") } }
                a.dispatch("b", request()).toList().endOutcome() shouldBe DispatchEnd.Outcome.Unknown
                b.onDispatch { _, _ -> flow { emit(DispatchEvent.Head(200, "text/plain")) } }
                a.dispatch("b", request()).toList().endOutcome() shouldBe DispatchEnd.Outcome.Unknown
            }
        }

        test("a full queue fails the sender at once with not sent") {
            // The raw peer reads nothing until all sends are done, however long they take on a busy machine.
            val sent = CountDownLatch(1)
            val handshakeOnly = RawPeer("raw") { sent.await(20, TimeUnit.SECONDS) }
            handshakeOnly.use { raw ->
                node("a", options = options.copy(queueFrames = 4, heartbeatMs = 5_000)).use { a ->
                    a.setPeers(mapOf("raw" to raw.address))
                    eventually(5.seconds) { a.connected() shouldContain "raw" }
                    val big = releaseOf("x".repeat(900_000))
                    val results = List(40) { a.send("raw", MessageKinds.release, big).also { delay(5) } }
                    sent.countDown()
                    results
                        .last()
                        .getError()
                        .shouldBeInstanceOf<PeerError.NotSent>()
                        .detail shouldContain "full"
                }
            }
        }
    })

private fun List<DispatchEvent>.endOutcome(): DispatchEnd.Outcome = (last() as DispatchEvent.End).end.outcome
