/*
 * Tests keys: what is stored of them, how they are compared, and that they are redacted in log lines.
 */
package io.skylarkstile.config

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.LoggingEvent
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldMatch
import io.kotest.matchers.string.shouldNotContain
import io.skylarkstile.config.key.checkKeyOrNull
import io.skylarkstile.config.key.createKey
import io.skylarkstile.config.key.redactKeys
import io.skylarkstile.config.log.encoderOf
import io.skylarkstile.schema.generated.LogSettings
import org.slf4j.LoggerFactory
import org.slf4j.event.KeyValuePair

class KeysSpec :
    FunSpec({
        val key = createKey("reader-2", "glass-cairo")
        val secret = key.text.removePrefix("sk-reader-2-")

        test("a created key is valid, and neither its record nor its string form contains the secret") {
            key.text shouldMatch Regex("sk-reader-2-[0-9a-f]{48}")
            checkKeyOrNull(key.text, mapOf("reader-2" to key.record))!!.record.workspace shouldBe "glass-cairo"
            "${key.record} $key" shouldNotContain secret
            createKey("reader-2", "glass-cairo").record.salt shouldMatch Regex("[0-9a-f]{32}")
        }

        test("wrong, unknown, malformed and withdrawn keys are rejected") {
            val keys = mapOf("reader-2" to key.record)
            listOf(
                "",
                "sk-",
                "sk-reader-2",
                "sk-reader-2-",
                "reader-2-$secret",
                "sk-reader-3-$secret",
                key.text + "0",
                key.text.dropLast(1),
            ).forEach { checkKeyOrNull(it, keys).shouldBeNull() }
            checkKeyOrNull(key.text, mapOf("reader-2" to key.record.copy(withdrawn = true))).shouldBeNull()
        }

        // Guards against a timing leak: a comparison that stops at the first wrong byte, or no hashing for unknown ids.
        test("a key with an unknown id takes as long as a wrong secret, whichever character differs") {
            val keys = mapOf("reader-2" to key.record)

            // The minimum of many runs is the time of the code itself; slower runs include other work on the machine.
            fun fastest(presented: String): Long = (1..60).minOf { nanos { repeat(50) { checkKeyOrNull(presented, keys) } } }
            val wrongFirst = "sk-reader-2-" + (if (secret[0] == '0') '1' else '0') + secret.drop(1)
            val wrongLast = key.text.dropLast(1) + (if (secret.last() == '0') '1' else '0')
            val unknown = "sk-reader-9-$secret"
            repeat(3) { listOf(wrongFirst, wrongLast, unknown).forEach(::fastest) }
            val times = listOf(wrongFirst, wrongLast, unknown).map(::fastest)
            // Skipping the HMAC would make a factor of more than 10; the bound of 3 allows for a busy machine.
            (times.max() / times.min()).toInt() shouldBeLessThan 3
        }

        test("a key in a message, a field or a stack trace is redacted in both log formats") {
            val context = LoggerFactory.getILoggerFactory() as LoggerContext
            for (format in LogSettings.Format.entries) {
                val cause = IllegalStateException("header Bearer ${key.text}")
                val event =
                    LoggingEvent("x", context.getLogger("a.B"), ch.qos.logback.classic.Level.INFO, "got ${key.text}", cause, null)
                event.addKeyValuePair(KeyValuePair("event", "key-refused"))
                event.addKeyValuePair(KeyValuePair("given", key.text))
                val line = String(encoderOf(context, format).encode(event))
                line shouldNotContain secret
                line shouldContain "sk-reader-2-***"
                line shouldContain if (format == LogSettings.Format.Json) "\"event\":\"key-refused\"" else "event=key-refused"
            }
            redactKeys("no key here") shouldBe "no key here"
        }
    })

private fun nanos(block: () -> Unit): Long {
    val start = System.nanoTime()
    block()
    return System.nanoTime() - start
}
