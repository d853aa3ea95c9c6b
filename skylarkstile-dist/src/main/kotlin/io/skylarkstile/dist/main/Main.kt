/*
 * Entry point that starts stand-ins for the weight store and all targets of a record file in one process. Used by the quick start, because
 * starting a separate process for each of its 16 targets takes longer than starting the rest of the site.
 */
package io.skylarkstile.dist.main

import io.skylarkstile.config.command.endingProcess
import io.skylarkstile.config.command.parseOrEnd
import io.skylarkstile.config.log.configureLogging
import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.readRecordFiles
import io.skylarkstile.schema.generated.LogSettings
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.standin.engine.EngineSettings
import io.skylarkstile.standin.engine.engineStandin
import io.skylarkstile.standin.http.Standin
import io.skylarkstile.standin.service.serviceStandin
import io.skylarkstile.standin.weights.weightsStandin
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/**
 * Prints `target <name> <address>` for each target, then `ready <address>` with the address of the weight store, and runs until it is
 * terminated.
 */
fun main(args: Array<String>) = endingProcess("skylarkstile-targets") {
    configureLogging(LogSettings(level = LogSettings.Level.Warn))
    val parser = ArgParser("skylarkstile-targets")
    val records by parser.option(ArgType.String, "records", description = "Record file with targets").required()
    val weights by parser.option(ArgType.String, "weights", description = "Address of the weight store, ip:port").required()
    parser.parseOrEnd(args)
    val files = readRecordFiles(listOf(Path.of(records)))
    if (files.findings.isNotEmpty()) {
        files.findings.forEach { System.err.println(it) }
        exitProcess(1)
    }
    val store = weightsStandin(weights)
    for (file in files.records) {
        val target = (file.record as? Record.Target)?.record ?: continue
        println("target ${file.id.name} ${start(target, store.address).address}")
    }
    println("ready ${store.address}")
    System.out.flush()
    CountDownLatch(1).await()
}

/** Starts the stand-in for [target]; an engine loads adapters from the weight store at [weights]. */
private fun start(
    target: TargetRecord,
    weights: String,
): Standin = when (target.type) {
    TargetRecord.Type.Engine -> {
        val settings = EngineSettings(slots = target.slots, maxBatch = target.maxRunning, fencing = target.fencing, weights = weights)
        engineStandin(target.address, settings)
    }

    TargetRecord.Type.Service -> {
        serviceStandin(target.address)
    }
}
