/*
 * Logging of every process, as text or JSON lines with callers' keys redacted. Each line has a stable event name in the field
 * `event`; the message may change between releases, the event name does not.
 */
package io.skylarkstile.config.log

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import ch.qos.logback.core.encoder.EncoderBase
import ch.qos.logback.core.spi.ContextAwareBase
import io.github.oshai.kotlinlogging.KLogger
import io.skylarkstile.config.key.redactKeys
import io.skylarkstile.schema.generated.LogSettings
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.Logger
import org.slf4j.LoggerFactory
import io.github.oshai.kotlinlogging.Level as EventLevel

private const val TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level [%thread] %logger{0} %kvp{NONE} %msg%n"

/** Capacity of the queue in lines; further lines are dropped while the reader is slow. */
private const val QUEUE_CAPACITY_LINES = 1_024

/** Libraries whose `info` and `debug` lines are of no use to operators. */
private val quietLoggers = listOf("io.netty", "io.ktor")

/** Destination of log lines. */
enum class LogOutput {
    /** Standard error; a reader that stops reading blocks the process. */
    StandardError,

    /** Standard output through a queue; when the queue is full, lines are dropped so that the process does not block. */
    StandardOutputQueued,
}

/** Sets the format, level and destination of log lines; called first in each process. */
fun configureLogging(
    settings: LogSettings,
    output: LogOutput = LogOutput.StandardError,
) {
    configure(LoggerFactory.getILoggerFactory() as LoggerContext, settings, output)
}

/** Writes a line at [level] with the stable [event] name and [fields]. */
fun KLogger.event(
    level: EventLevel,
    event: String,
    vararg fields: Pair<String, Any?>,
    cause: Throwable? = null,
    message: () -> String,
) {
    at(level) {
        this.message = message()
        this.cause = cause
        payload = mapOf("event" to event, *fields)
    }
}

/** Sets the defaults until the settings are known. Logback's own defaults would write debug lines to standard output. */
class DefaultLogging :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        configure(context, LogSettings(), LogOutput.StandardError)
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }
}

internal fun encoderOf(
    context: LoggerContext,
    format: LogSettings.Format,
): Encoder<ILoggingEvent> {
    val encoder =
        when (format) {
            LogSettings.Format.Human -> PatternLayoutEncoder().apply { pattern = TEXT_PATTERN }
            LogSettings.Format.Json -> LogstashEncoder().apply { version = null }
        }
    return RedactingEncoder(encoder).also {
        it.context = context
        it.start()
    }
}

private fun configure(
    context: LoggerContext,
    settings: LogSettings,
    output: LogOutput,
) {
    context.reset()
    val console = ConsoleAppender<ILoggingEvent>()
    console.context = context
    console.target = if (output == LogOutput.StandardError) "System.err" else "System.out"
    console.encoder = encoderOf(context, settings.format)
    console.start()
    val appender = if (output == LogOutput.StandardError) console else asyncAppender(context, console)
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.toLevel(settings.level.value)
    root.addAppender(appender)
    quietLoggers.forEach { context.getLogger(it).level = Level.WARN }
}

internal fun asyncAppender(
    context: LoggerContext,
    console: Appender<ILoggingEvent>,
): Appender<ILoggingEvent> = AsyncAppender().apply {
    this.context = context
    queueSize = QUEUE_CAPACITY_LINES
    discardingThreshold = 0
    isNeverBlock = true
    addAppender(console)
    start()
}

/** Redacts keys in the encoded line, so that all fields and stack traces are covered. */
private class RedactingEncoder(
    private val line: Encoder<ILoggingEvent>,
) : EncoderBase<ILoggingEvent>() {
    override fun start() {
        line.context = context
        line.start()
        super.start()
    }

    override fun headerBytes(): ByteArray = ByteArray(0)

    override fun encode(event: ILoggingEvent): ByteArray = redactKeys(String(line.encode(event), Charsets.UTF_8)).toByteArray()

    override fun footerBytes(): ByteArray = ByteArray(0)
}
