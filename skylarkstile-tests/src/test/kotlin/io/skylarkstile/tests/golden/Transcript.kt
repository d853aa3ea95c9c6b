/*
 * Records the requests and responses of a session as text. Values that differ between runs are replaced by fixed placeholders.
 */
package io.skylarkstile.tests.golden

import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.Reply
import java.io.File

/** Response headers that callers act on. */
private val recordedHeaders = listOf("content-type", "retry-after", "www-authenticate", "x-request-id", "traceparent")

private val variableParts =
    listOf(
        Regex("""127(\.\d{1,3}){3}:\d+""") to "<address>",
        Regex(""""created":\d+""") to """"created":<time>""",
        Regex("""[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}""") to "<id>",
        Regex("""00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}""") to "<traceparent>",
    )

/** Records the exchanges of one session. */
internal class Transcript {
    private val text = StringBuilder()

    /** Sends one request as [caller], named [name] in the transcript, and records the request and its response. */
    suspend fun exchange(
        caller: Caller,
        name: String,
        method: String,
        uri: String,
        body: String = "",
        vararg headers: Pair<String, String>,
    ): Reply {
        val reply = caller.call(method, uri, body, *headers)
        text.append("> $method $uri as $name")
        headers.forEach { text.append(", ${it.first}: ${it.second}") }
        text.append('\n')
        if (body.isNotEmpty()) text.append("> $body\n")
        text.append("< ${reply.status}\n")
        recordedHeaders.forEach { field -> reply.headers[field]?.let { text.append("< $field: $it\n") } }
        reply.body
            .trimEnd()
            .lineSequence()
            .filter { it.isNotEmpty() }
            .forEach { text.append("< $it\n") }
        text.append('\n')
        return reply
    }

    /** Compares the transcript with the golden file [name]; `-Dgolden.write=true` overwrites the file instead. */
    fun shouldMatch(name: String) {
        val actual = variableParts.fold(text.toString()) { replaced, (pattern, placeholder) -> replaced.replace(pattern, placeholder) }
        val file = File("src/test/resources/golden/$name")
        if (System.getProperty("golden.write") == "true") {
            file.writeText(actual)
            return
        }
        val expected = file.readText()
        val lines = expected.lines().zip(actual.lines())
        val firstDifference = lines.indexOfFirst { it.first != it.second }
        withClue({ "first difference from $name is in line ${firstDifference + 1}: ${lines.getOrNull(firstDifference)}" }) {
            actual shouldBe
                expected
        }
    }
}
