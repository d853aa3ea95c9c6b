/*
 * Log lines of every process: on standard error, as text or as JSON lines, without any caller's key. Each line carries the stable
 * name of what happened in the field `event`; the message may change between releases, the name does not.
 */
package io.skylarkstile.config.log

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
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

private const val HUMAN_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX,UTC} %-5level [%thread] %logger{0} %kvp{NONE} %msg%n"

/** Libraries whose `info` and `debug` lines say nothing to an operator. */
private val quietLoggers = listOf("io.netty", "io.ktor")

/** Sets the form and level of log lines; called first in each process. */
fun configureLogging(settings: LogSettings) {
    configure(LoggerFactory.getILoggerFactory() as LoggerContext, settings)
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

/** Sets the defaults before the settings are known, in place of logback's own, which write debug lines to standard output. */
class DefaultLogging :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        configure(context, LogSettings())
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }
}

internal fun encoderOf(
    context: LoggerContext,
    format: LogSettings.Format,
): Encoder<ILoggingEvent> {
    val encoder =
        when (format) {
            LogSettings.Format.Human -> PatternLayoutEncoder().apply { pattern = HUMAN_PATTERN }
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
) {
    context.reset()
    val appender = ConsoleAppender<ILoggingEvent>()
    appender.context = context
    appender.target = "System.err"
    appender.encoder = encoderOf(context, settings.format)
    appender.start()
    val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
    root.level = Level.toLevel(settings.level.value)
    root.addAppender(appender)
    quietLoggers.forEach { context.getLogger(it).level = Level.WARN }
}

/** Removes keys from the finished line, whichever field or stack trace they stand in. */
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
