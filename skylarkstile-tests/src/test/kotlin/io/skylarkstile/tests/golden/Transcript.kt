/*
 * The text of a whole session: each request with its answer. Parts that differ between runs are replaced by fixed words.
 */
package io.skylarkstile.tests.golden

import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.skylarkstile.tests.harness.Caller
import io.skylarkstile.tests.harness.Reply
import java.io.File

/** Header fields of answers that callers act on. */
private val shownFields = listOf("content-type", "retry-after", "www-authenticate", "x-request-id", "traceparent")

private val variableParts =
    listOf(
        Regex("""127(\.\d{1,3}){3}:\d+""") to "<address>",
        Regex(""""created":\d+""") to """"created":<time>""",
        Regex("""[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}""") to "<id>",
        Regex("""00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}""") to "<traceparent>",
    )

/** Collects the exchanges of one session. */
internal class Transcript {
    private val text = StringBuilder()

    /** Sends one request as [caller], who is called [name] in the text, and notes it with the answer. */
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
        shownFields.forEach { field -> reply.headers[field]?.let { text.append("< $field: $it\n") } }
        reply.body
            .trimEnd()
            .lineSequence()
            .filter { it.isNotEmpty() }
            .forEach { text.append("< $it\n") }
        text.append('\n')
        return reply
    }

    /** Compares the session with the golden file [name]; `-Dgolden.write=true` writes the file instead. */
    fun shouldMatch(name: String) {
        val actual = variableParts.fold(text.toString()) { all, (pattern, word) -> all.replace(pattern, word) }
        val file = File("src/test/resources/golden/$name")
        if (System.getProperty("golden.write") == "true") {
            file.writeText(actual)
            return
        }
        val expected = file.readText()
        val lines = expected.lines().zip(actual.lines())
        val first = lines.indexOfFirst { it.first != it.second }
        withClue({ "$name differs first in line ${first + 1}: ${lines.getOrNull(first)}" }) { actual shouldBe expected }
    }
}
