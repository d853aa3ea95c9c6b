/*
 * Entry point of the command that runs one stand-in. It prints `ready <address>` on standard output once it listens, and runs until it is
 * terminated.
 */
package io.skylarkstile.standin.main

import io.skylarkstile.config.command.endingProcess
import io.skylarkstile.config.command.parseOrEnd
import io.skylarkstile.config.command.usageError
import io.skylarkstile.config.log.configureLogging
import io.skylarkstile.schema.generated.LogSettings
import io.skylarkstile.standin.engine.EngineSettings
import io.skylarkstile.standin.engine.engineStandin
import io.skylarkstile.standin.http.Standin
import io.skylarkstile.standin.http.settingsOf
import io.skylarkstile.standin.objects.ObjectsSettings
import io.skylarkstile.standin.objects.objectsStandin
import io.skylarkstile.standin.proxy.LinkSpec
import io.skylarkstile.standin.proxy.proxyStandin
import io.skylarkstile.standin.service.ServiceSettings
import io.skylarkstile.standin.service.serviceStandin
import io.skylarkstile.standin.weights.WeightsSettings
import io.skylarkstile.standin.weights.weightsStandin
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import java.util.concurrent.CountDownLatch

/** Runs the stand-in that the first argument selects. */
fun main(args: Array<String>) = endingProcess("skylarkstile-standin") {
    configureLogging(LogSettings(level = LogSettings.Level.Warn))
    val parser = ArgParser("skylarkstile-standin")
    val commands = listOf(ObjectsCommand(), EngineCommand(), ServiceCommand(), WeightsCommand(), ProxyCommand())
    parser.parseOrEnd(args.ifEmpty { arrayOf("--help") }, commands)
}

/** Defines the options common to all subcommands. */
@OptIn(ExperimentalCli::class)
private abstract class StandinCommand(
    name: String,
    description: String,
) : Subcommand(name, description) {
    protected val listen by option(ArgType.String, "listen", description = "Address to listen on").default("127.0.0.1:0")
    protected val control by option(ArgType.String, "control", description = "JSON object of settings, as in POST /control").default("{}")

    protected abstract fun start(): Standin

    override fun execute() {
        val standin =
            try {
                start()
            } catch (e: IllegalArgumentException) {
                usageError("$name: ${e.message}")
            }
        println("ready ${standin.address}")
        System.out.flush()
        Runtime.getRuntime().addShutdownHook(Thread { standin.close() })
        CountDownLatch(1).await()
    }
}

private class ObjectsCommand : StandinCommand("objects", "The platform's object API") {
    override fun start(): Standin = objectsStandin(listen, settingsOf(ObjectsSettings.serializer(), ObjectsSettings(), control))
}

@OptIn(ExperimentalCli::class)
private class EngineCommand : StandinCommand("engine", "A model engine") {
    private val slots by option(ArgType.Int, "slots", description = "Adapter slots").default(EngineSettings().slots)
    private val fencing by option(ArgType.String, "fencing", description = "Reject orders with an outdated fencing number (true or false)")
        .default("false")
    private val weights by option(ArgType.String, "weights", description = "Address of the weight store")

    override fun start(): Standin {
        val initial = EngineSettings(slots = slots, fencing = fencing.toBooleanStrict(), weights = weights)
        return engineStandin(listen, settingsOf(EngineSettings.serializer(), initial, control))
    }
}

private class ServiceCommand : StandinCommand("service", "A plain service with registrations and holds") {
    override fun start(): Standin = serviceStandin(listen, settingsOf(ServiceSettings.serializer(), ServiceSettings(), control))
}

private class WeightsCommand : StandinCommand("weights", "The weight store") {
    override fun start(): Standin = weightsStandin(listen, settingsOf(WeightsSettings.serializer(), WeightsSettings(), control))
}

@OptIn(ExperimentalCli::class)
private class ProxyCommand : StandinCommand("proxy", "A TCP proxy that injects faults") {
    private val link by option(ArgType.String, "link", description = "A link as name=listen>target; may be repeated").multiple()

    override fun start(): Standin = proxyStandin(listen, link.map { linkOf(it) })
}

/** Parses `name=listen>target`. */
internal fun linkOf(text: String): LinkSpec {
    val name = text.substringBefore('=', "")
    val listen = text.substringAfter('=').substringBefore('>', "")
    val target = text.substringAfter('>', "")
    require(name.isNotEmpty() && listen.isNotEmpty() && target.isNotEmpty()) { "'$text' is not of the form name=listen>target" }
    return LinkSpec(name, listen, target)
}
