/*
 * Requests to single instances over datagrams, and the answers to them. A request is repeated until its timeout, since datagrams may be
 * lost, and a repeated request gets the same answer as before.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.main.Scheduler
import io.skylarkstile.gateway.main.Timer
import io.skylarkstile.gateway.membership.InstanceRecord
import io.skylarkstile.schema.generated.GatewayDatagram
import java.net.InetSocketAddress

/** A request is repeated after this time, in milliseconds. */
private const val RETRY_MS = 20L

/** Timeout of a request, in milliseconds: bounds the caller's wait to about a round trip to a busy instance. */
private const val ANSWER_TIMEOUT_MS = 75L

/** An instance that didn't answer gets no further request for this long, in milliseconds. */
private const val AVOID_UNRESPONSIVE_MS = 500L

/** Number of answers kept to answer repeated requests. */
private const val MAX_REMEMBERED_ANSWERS = 2_048

/** Sends numbered requests that are answered with an [A]. Not thread-safe. */
internal class PeerRequests<A : Any>(
    private val scheduler: Scheduler,
    private val send: (GatewayDatagram, Collection<InetSocketAddress>) -> Unit,
) {
    private class Pending<A : Any>(
        val receiver: InstanceRecord,
        val datagram: GatewayDatagram,
        val done: (A?, Long) -> Unit,
    ) {
        var timer: Timer? = null
    }

    private val pending = HashMap<Long, Pending<A>>()
    private val avoidedUntil = HashMap<String, Long>()
    private var number = 0L

    /** Returns whether [receiver] gets no request now because it didn't answer the last one. */
    fun isAvoided(
        receiver: String,
        now: Long,
    ): Boolean = now < (avoidedUntil[receiver] ?: now)

    /** Lets all instances get requests again. */
    fun clearAvoided() = avoidedUntil.clear()

    /**
     * Sends the datagram that [datagramOf] creates for a request number to [receiver]. [done] receives the answer, or null after the timeout,
     * and the time, exactly once.
     */
    fun request(
        receiver: InstanceRecord,
        now: Long,
        datagramOf: (Long) -> GatewayDatagram,
        done: (A?, Long) -> Unit,
    ) {
        val requestNumber = ++number
        val request = Pending<A>(receiver, datagramOf(requestNumber), done)
        pending[requestNumber] = request
        send(requestNumber, request, now + ANSWER_TIMEOUT_MS)
    }

    private fun send(
        requestNumber: Long,
        request: Pending<A>,
        deadline: Long,
    ) {
        send(request.datagram, listOf(request.receiver.peers))
        request.timer =
            scheduler.after(RETRY_MS) {
                if (scheduler.now() + RETRY_MS < deadline) {
                    send(requestNumber, request, deadline)
                } else {
                    awaitTimeout(requestNumber, request, deadline)
                }
            }
    }

    private fun awaitTimeout(
        requestNumber: Long,
        request: Pending<A>,
        deadline: Long,
    ) {
        request.timer =
            scheduler.after(maxOf(0, deadline - scheduler.now())) {
                val now = scheduler.now()
                pending.remove(requestNumber)
                avoidedUntil[request.receiver.name] = now + AVOID_UNRESPONSIVE_MS
                request.done(null, now)
            }
    }

    /** Handles the [answer] to the request [requestNumber] of this process; a repeated answer is ignored. */
    fun receive(
        requestNumber: Long,
        answer: A,
        now: Long,
    ) {
        val request = pending.remove(requestNumber) ?: return
        request.timer?.cancel()
        avoidedUntil.remove(request.receiver.name)
        request.done(answer, now)
    }
}

/** Identifies a request by the process that sent it and its number there. */
internal data class RequestId(
    val sender: String,
    val startedAt: Long,
    val number: Long,
)

/** Remembers the last answers given, so that a repeated request isn't decided twice. Not thread-safe. */
internal class RememberedAnswers<A : Any> {
    private val answers = LinkedHashMap<RequestId, A>()

    /** Returns the answer given to [requestId] before, or else the one that [decide] returns. */
    fun getOrDecide(
        requestId: RequestId,
        decide: () -> A?,
    ): A? {
        answers[requestId]?.let { return it }
        val answer = decide() ?: return null
        answers[requestId] = answer
        if (answers.size > MAX_REMEMBERED_ANSWERS) answers.remove(answers.keys.first())
        return answer
    }
}
