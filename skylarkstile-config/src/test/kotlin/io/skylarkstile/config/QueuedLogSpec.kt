/*
 * Guards against a process that stands still because nobody reads its log lines.
 */
package io.skylarkstile.config

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.skylarkstile.config.log.queued
import java.util.concurrent.CountDownLatch

/** An appender whose reader has stopped. */
private class StoppedReader : AppenderBase<ILoggingEvent>() {
    val released = CountDownLatch(1)

    override fun append(event: ILoggingEvent) = released.await()
}

class QueuedLogSpec :
    FunSpec({
        test("a reader that stops costs lines, not time") {
            val context = LoggerContext()
            val reader = StoppedReader().apply { this.context = context }.apply { start() }
            val logger = context.getLogger("test").apply { addAppender(queued(context, reader)) }
            val began = System.nanoTime()
            repeat(20_000) { logger.info("line {}", it) }
            (System.nanoTime() - began) / 1_000_000 shouldBeLessThan 5_000
            reader.released.countDown()
            context.stop()
        }
    })
