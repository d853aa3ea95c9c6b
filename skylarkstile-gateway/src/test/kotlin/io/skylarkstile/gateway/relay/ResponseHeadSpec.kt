/*
 * Guards against heads that are taken for that of one response although they were made of two, and against sound heads that are rejected.
 */
package io.skylarkstile.gateway.relay

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.skylarkstile.gateway.http.ResponseEndHandler
import io.skylarkstile.gateway.http.hasNoLength
import io.skylarkstile.gateway.model.CallHead
import io.skylarkstile.gateway.model.Dispatch
import io.skylarkstile.gateway.model.ResponseHead
import io.skylarkstile.http.ResponseDecoder

private const val CALL_ID = "X-Attempt-Id"

/** Reads the status and the call id of a response. */
private object IdCodec : CallCodec {
    override fun readCallOrNull(request: HttpRequest): CallHead? = null

    override fun targetHeaders(
        call: CallHead,
        dispatch: Dispatch,
    ): HttpHeaders = DefaultHttpHeaders()

    override fun readResponse(response: HttpResponse) = ResponseHead(
        status = response.status().code(),
        callId = response.headers().get(CALL_ID),
        isSigned = true,
        isNotExecuted = false,
        targetId = null,
        keepAliveMs = null,
        hasContentEncoding = false,
        endsWithConnection = response.hasNoLength(),
    )

    override fun addOwnHeaders(
        headers: HttpHeaders,
        callId: String?,
        retryAfterMs: Long?,
    ) = Unit
}

/** Records what becomes of one call. */
private class RecordedResponse : ResponseListener {
    var status: Int? = null
    var isComplete = false
    var end: String? = null

    override fun head(
        head: ResponseHead,
        response: HttpResponse,
    ) {
        status = head.status
    }

    override fun content(data: ByteBuf) = Unit

    override fun flush() = Unit

    override fun complete() {
        isComplete = true
    }

    override fun disconnected(reason: String) {
        end = "disconnected: $reason"
    }

    override fun outOfStep(reason: String) {
        end = "out of step: $reason"
    }
}

private fun responseTo(
    callId: String,
    status: String,
    header: String = "X-Extra: 1",
) = "HTTP/1.1 $status\r\n$header\r\n$CALL_ID: $callId\r\nContent-Length: 4\r\n\r\nbody"

/** Sends one call after the other on a connection, and passes the response to each on to it; returns what became of the last one. */
private fun outcomeOf(vararg responses: String): RecordedResponse = outcomeOf(*responses.map { listOf(it) }.toTypedArray())

/** As above; the parts of each response arrive one after the other. */
private fun outcomeOf(vararg responses: List<String>): RecordedResponse {
    val decoder = ResponseDecoder()
    val connection = TargetConnection(IdCodec, decoder)
    val channel = EmbeddedChannel(HttpRequestEncoder(), decoder, ResponseEndHandler(), connection)
    val recorded =
        responses.mapIndexed { number, parts ->
            RecordedResponse().also {
                connection.send("c-$number", HttpMethod.POST, "/", DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, false, it)
                parts.forEach { part -> channel.writeInbound(Unpooled.copiedBuffer(part, Charsets.ISO_8859_1)) }
            }
        }
    channel.finishAndReleaseAll()
    return recorded.last()
}

class ResponseHeadSpec :
    FunSpec({
        // The decoder drops what stands between a header's name and the next colon, so that the status line of a failure disappeared in it.
        test("a status line behind the name of a header and a space isn't a part of the response before it") {
            val cutOff = "HTTP/1.1 200 OK\r\nX-Cut "
            val outcome = outcomeOf(responseTo("c-0", "200 OK"), cutOff + responseTo("c-1", "500 Internal Server Error"))
            (outcome.status == 200 && outcome.isComplete) shouldBe false
        }

        // A head with a status line in a header can't be told from one that was made of two, also as the first one on its connection.
        test("a head with a second status line in a header isn't passed on, also on a new connection") {
            val outcome = outcomeOf("HTTP/1.1 200 OK\r\nX-Cause: " + responseTo("c-0", "500 Internal Server Error"))
            outcome.status shouldBe null
            outcome.end.orEmpty() shouldStartWith "out of step"
        }

        // After a response in chunks, a head that arrived in two parts was taken for a status line within these chunks.
        test("a head that arrives in parts after a response in chunks is passed on, wherever it is divided") {
            val inChunks = "HTTP/1.1 200 OK\r\n$CALL_ID: c-0\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
            val next = responseTo("c-1", "200 OK")
            for (end in 1 until next.length) {
                val outcome = outcomeOf(listOf(inChunks), listOf(next.take(end), next.drop(end)))
                withClue("divided after $end bytes: ${outcome.end}") { outcome.isComplete shouldBe true }
            }
        }

        // A target that crashed inside a head wasn't counted among those that a call has ended.
        test("a connection that ends inside a head is reported as ended") {
            val outcome = outcomeOf("HTTP/1.1 200 OK\r\n$CALL_ID: c-0\r\n")
            outcome.end.orEmpty() shouldStartWith "disconnected"
        }
    })
