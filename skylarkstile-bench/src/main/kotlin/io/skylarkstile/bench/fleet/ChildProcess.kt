/*
 * Processes of a fleet. Their output is kept in a directory of the fleet, and all of them end with this JVM at the latest.
 */
package io.skylarkstile.bench.fleet

import kotlinx.coroutines.delay
import java.io.File
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** A JVM process that can be started, killed, paused and started again with the same arguments. */
class ChildProcess(
    val name: String,
    private val mainClass: String,
    private val arguments: List<String>,
    private val directory: File,
    private val heap: String = "96m",
) {
    private var starts = 0
    private var process: Process? = null
    private lateinit var output: File

    /** Address of the `ready` line. */
    lateinit var address: String
        private set

    val isAlive: Boolean get() = process?.isAlive == true

    /** Id of the process; the process must have been started. */
    val pid: Long get() = started().pid()

    /** Standard error of the present run. */
    val log: File get() = File(directory, "$name-$starts.log")

    /** Starts the process without waiting for its readiness. */
    fun start(): ChildProcess {
        check(!isAlive) { "$name is running" }
        starts++
        directory.mkdirs()
        output = File(directory, "$name-$starts.out")
        val command = listOf(javaCommand, "-Xmx$heap") + jvmOptions + listOf("-cp", classPath, mainClass) + arguments
        process =
            ProcessBuilder(command)
                .redirectOutput(output)
                .redirectError(log)
                .start()
                .also { running.add(it) }
        return this
    }

    /**
     * Waits for the `ready` line.
     *
     * @throws IllegalStateException when it does not come within [timeoutMs] milliseconds or the process ends before
     */
    suspend fun awaitReady(timeoutMs: Long = READY_TIMEOUT_MS): ChildProcess {
        val end = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (true) {
            val line = output.readLines().firstOrNull { it.startsWith(READY) }
            if (line != null) {
                address = line.removePrefix(READY).trim()
                return this
            }
            check(isAlive) { "$name ended with ${started().exitValue()} before it was ready:\n${tail()}" }
            check(System.nanoTime() < end) { "$name was not ready after $timeoutMs ms:\n${tail()}" }
            delay(READY_POLL_MS)
        }
    }

    /** Ends the process at once, as a crash does. */
    fun kill() {
        val ended = started().destroyForcibly()
        ended.waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        running.remove(ended)
    }

    /** Sends SIGTERM without waiting. */
    fun terminate() = started().destroy()

    /** Waits for the end of the process and returns its exit code, or `null` after [timeoutMs] milliseconds. */
    suspend fun awaitExitOrNull(timeoutMs: Long): Int? {
        val end = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (isAlive && System.nanoTime() < end) delay(READY_POLL_MS)
        return if (isAlive) null else started().exitValue()
    }

    /** Stops the process as a long pause does (SIGSTOP); its sockets stay open. */
    fun pause() = signal("STOP")

    /** Lets a paused process go on. */
    fun resume() = signal("CONT")

    /** Returns the end of the log for failure messages. */
    fun tail(): String = (output.readLines() + log.readLines()).takeLast(TAIL_LINES).joinToString("\n")

    private fun signal(name: String) {
        val exit = ProcessBuilder("kill", "-$name", "$pid").inheritIO().start().waitFor()
        check(exit == 0) { "kill -$name $pid failed" }
    }

    private fun started(): Process = checkNotNull(process) { "$name was not started" }

    private companion object {
        const val READY = "ready "
        const val READY_TIMEOUT_MS = 30_000L
        const val READY_POLL_MS = 20L
        const val EXIT_TIMEOUT_MS = 5_000L
        const val TAIL_LINES = 40
        const val NANOS_PER_MS = 1_000_000L

        /** The quick compiler alone keeps many small processes cheap on a shared machine. */
        val jvmOptions = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Djava.net.preferIPv4Stack=true")
        val javaCommand: String = File(System.getProperty("java.home"), "bin/java").path

        /** The test runner starts with a jar that only names the class path, and gives the path itself in a property. */
        val classPath: String = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

        val running: MutableSet<Process> = ConcurrentHashMap.newKeySet()

        init {
            Runtime.getRuntime().addShutdownHook(Thread { running.forEach { it.destroyForcibly() } })
        }
    }
}
