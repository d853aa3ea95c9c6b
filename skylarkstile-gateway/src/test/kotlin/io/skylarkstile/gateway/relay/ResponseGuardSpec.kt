/*
 * Guards against parts of a response on a caller's connection after the response is complete, and against bodies that don't have the length that
 * their head announces: the caller would take them for the next response, or the next response for the rest of the body.
 */
package io.skylarkstile.gateway.relay

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.skylarkstile.gateway.model.CallHead

private class RecordingResponse : CallerResponse {
    val parts = ArrayList<String>()
    override val isWritable: Boolean = true

    override fun refuse(
        status: Int,
        reason: String,
        retryAfterMs: Long?,
    ) {
        parts.add("refuse")
    }

    override fun begin(
        status: Int,
        reasonPhrase: String,
        headers: HttpHeaders,
        contentLength: Long?,
    ) {
        parts.add("begin")
    }

    override fun writeBody(data: ByteBuf) {
        parts.add(data.toString(Charsets.UTF_8))
    }

    override fun flush() {
        parts.add("flush")
    }

    override fun end() {
        parts.add("end")
    }

    override fun abort() {
        parts.add("abort")
    }
}

/** Returns what is passed on of the response to a request with [method] that [action] writes. */
private fun partsOf(
    method: HttpMethod = HttpMethod.GET,
    action: CallerResponse.() -> Unit,
): List<String> {
    val recording = RecordingResponse()
    val call =
        CallHead(
            id = "c-1",
            method = method,
            uri = "/",
            host = "h",
            headers = DefaultHttpHeaders(),
            key = null,
            deadlineMs = null,
            model = null,
            adapter = null,
            promptTokens = 0,
            outputTokens = 0,
            hasTokens = false,
            lastEventId = null,
            sharedParts = emptyList(),
        )
    ResponseGuard(call, recording).action()
    return recording.parts
}

private fun CallerResponse.begin(
    length: Long?,
    status: Int = 200,
) = begin(status, "OK", DefaultHttpHeaders(), length)

private fun CallerResponse.write(text: String) = writeBody(Unpooled.copiedBuffer(text, Charsets.UTF_8))

private val everyPart =
    mapOf<String, CallerResponse.() -> Unit>(
        "a head" to { begin(null) },
        "a part of a body" to { write("more") },
        "a flush" to { flush() },
        "an end" to { end() },
        "a refusal" to { refuse(503, "x", null) },
        "an abort" to { abort() },
    )

class ResponseGuardSpec :
    FunSpec({
        everyPart.forEach { (name, part) ->
            test("$name after a response is not passed on") {
                partsOf {
                    begin(null)
                    write("body")
                    end()
                    part()
                } shouldContainExactly listOf("begin", "body", "end")
            }

            test("$name after a refusal is not passed on") {
                partsOf {
                    refuse(503, "x", null)
                    part()
                } shouldContainExactly listOf("refuse")
            }

            test("$name after an abort is not passed on") {
                partsOf {
                    begin(null)
                    abort()
                    part()
                } shouldContainExactly listOf("begin", "abort")
            }
        }

        test("a body longer than announced is broken off before the bytes beyond its end") {
            partsOf {
                begin(4)
                write("bo")
                write("dy!")
                end()
            } shouldContainExactly listOf("begin", "bo", "abort")
        }

        test("a body shorter than announced is broken off, so that the next response isn't read as its rest") {
            partsOf {
                begin(4)
                write("bod")
                end()
            } shouldContainExactly listOf("begin", "bod", "abort")
        }

        test("a refusal or a second head within a response breaks it off") {
            partsOf {
                begin(4)
                refuse(503, "x", null)
            } shouldContainExactly listOf("begin", "abort")
            partsOf {
                begin(4)
                begin(4)
            } shouldContainExactly listOf("begin", "abort")
        }

        test("responses without a body may announce a length") {
            val expected = listOf("begin", "end")
            partsOf(HttpMethod.HEAD) { begin(4).also { end() } } shouldContainExactly expected
            partsOf { begin(4, status = 304).also { end() } } shouldContainExactly expected
        }

        test("a body of a response to a HEAD request breaks the connection off") {
            partsOf(HttpMethod.HEAD) { begin(4).also { write("body") } } shouldContainExactly listOf("begin", "abort")
        }

        test("whole responses are passed on") {
            partsOf {
                begin(4)
                write("bo")
                flush()
                write("dy")
                end()
            } shouldContainExactly listOf("begin", "bo", "flush", "dy", "end")
        }
    })
