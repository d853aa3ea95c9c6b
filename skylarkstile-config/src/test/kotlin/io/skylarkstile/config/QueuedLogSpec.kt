/*
 * Guards against a process that blocks because the reader of its log lines has stopped reading.
 */
package io.skylarkstile.config

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.skylarkstile.config.log.asyncAppender
import java.util.concurrent.CountDownLatch

/** Blocks in every append, like an appender whose reader has stopped reading. */
private class BlockingAppender : AppenderBase<ILoggingEvent>() {
    val released = CountDownLatch(1)

    override fun append(event: ILoggingEvent) = released.await()
}

class QueuedLogSpec :
    FunSpec({
        test("log lines are dropped instead of blocking when the reader stops") {
            val context = LoggerContext()
            val blockingAppender = BlockingAppender().apply { this.context = context }.apply { start() }
            val logger = context.getLogger("test").apply { addAppender(asyncAppender(context, blockingAppender)) }
            val began = System.nanoTime()
            repeat(20_000) { logger.info("line {}", it) }
            (System.nanoTime() - began) / 1_000_000 shouldBeLessThan 5_000
            blockingAppender.released.countDown()
            context.stop()
        }
    })
