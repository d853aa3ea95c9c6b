/*
 * Tests how the object store client builds requests and reads responses, with a stub instead of the network.
 */
package io.skylarkstile.transport.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.skylarkstile.schema.generated.StoredRecord
import io.skylarkstile.transport.http.HttpAnswer
import io.skylarkstile.transport.http.HttpBodyException
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpFailure
import io.skylarkstile.transport.http.HttpHeaders
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.wholeAnswer
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.flow

class HttpObjectStoreSpec :
    FunSpec({
        val sent = mutableListOf<HttpRequest>()

        fun store(answer: suspend () -> Result<HttpAnswer, HttpFailure>): ObjectStore = objectStore("127.0.0.1:1", stub(sent, answer), 100)

        fun answering(
            status: Int,
            body: String = "{}",
        ) = store { Ok(wholeAnswer(status, "application/json", body.encodeToByteArray())) }

        test("returns the written value with the version from the response") {
            val written = answering(200, """{"kind":"route","name":"a","version":3,"revision":9}""").put("route", "a", "{\"x\":1}", 2)
            written shouldBe Ok(StoredRecord("route", "a", 3, 9, "{\"x\":1}"))
            sent.last().rawUri shouldBe "/v1/objects/route/a?ifVersion=2"
        }

        test("encodes names so that each stays one path segment") {
            answering(404).get("version", "a@1/b?c d") shouldBe Ok(null)
            sent.last().rawUri shouldBe "/v1/objects/version/a%401%2Fb%3Fc%20d"
        }

        test("sends all kinds of a watch in one call") {
            answering(200, """{"revision":5,"records":[]}""").watch(listOf("key", "route"), 4, 10) shouldBe Ok(RecordList(5, emptyList()))
            sent.last().rawUri shouldBe "/v1/watch?kind=key&kind=route&after=4&waitMs=10"
        }

        test("distinguishes the error statuses") {
            answering(409, """{"currentVersion":7}""").put("a", "b", "{}", 1).getError() shouldBe StoreError.Conflict(7)
            answering(410).watch(listOf("a"), 1, 1).getError() shouldBe StoreError.HistoryGone
            answering(429).get("a", "b").getError() shouldBe StoreError.Throttled
            answering(413).put("a", "b", "{}", null).getError().shouldBeInstanceOf<StoreError.Rejected>()
        }

        test("treats a sent write without a response as possibly applied") {
            fun mayHaveApplied(result: Result<*, StoreError>) = (result.getError() as StoreError.Unavailable).mayHaveApplied
            mayHaveApplied(store { Err(HttpFailure.NotSent("refused")) }.put("a", "b", "{}", 1)) shouldBe false
            mayHaveApplied(store { Err(HttpFailure.NoAnswer("closed")) }.put("a", "b", "{}", 1)) shouldBe true
            mayHaveApplied(store { awaitCancellation() }.delete("a", "b", 1)) shouldBe true
            mayHaveApplied(answering(503).put("a", "b", "{}", 1)) shouldBe true
            mayHaveApplied(store { Ok(interruptedResponse()) }.put("a", "b", "{}", 1)) shouldBe true
            mayHaveApplied(store { Err(HttpFailure.NoAnswer("closed")) }.get("a", "b")) shouldBe false
        }
    })

private fun interruptedResponse() = HttpAnswer(200, HttpHeaders(), flow { throw HttpBodyException("ended early") })

private fun stub(
    sent: MutableList<HttpRequest>,
    answer: suspend () -> Result<HttpAnswer, HttpFailure>,
): HttpClient = object : HttpClient {
    override suspend fun call(
        address: String,
        request: HttpRequest,
        idleTimeoutMs: Long,
        idempotent: Boolean,
        beforeSend: () -> Boolean,
    ): Result<HttpAnswer, HttpFailure> {
        sent += request
        return answer()
    }

    override fun close() = Unit
}
