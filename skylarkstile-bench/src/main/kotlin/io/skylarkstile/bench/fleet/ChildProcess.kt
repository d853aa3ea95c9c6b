/*
 * Child JVM processes of a fleet. Their output is written to files in the fleet's directory. All of them are killed when this JVM exits.
 */
package io.skylarkstile.bench.fleet

import kotlinx.coroutines.delay
import java.io.File
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** A JVM process that can be started, paused, killed and restarted with the same arguments. */
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

    /** Address that the process printed in its `ready` line; [awaitReady] must have returned. */
    lateinit var address: String
        private set

    val isAlive: Boolean get() = process?.isAlive == true

    /** Process id; the process must have been started. */
    val pid: Long get() = startedProcess().pid()

    /** File with the standard error of the current process; each start writes a new file. */
    val log: File get() = File(directory, "$name-$starts.log")

    /** Starts the process without waiting until it is ready. */
    fun start(): ChildProcess {
        check(!isAlive) { "$name is already running" }
        starts++
        directory.mkdirs()
        output = File(directory, "$name-$starts.out")
        val command = listOf(javaCommand, "-Xmx$heap") + jvmOptions + listOf("-cp", classPath, mainClass) + arguments
        process =
            ProcessBuilder(command)
                .redirectOutput(output)
                .redirectError(log)
                .start()
                .also { runningProcesses.add(it) }
        return this
    }

    /**
     * Waits for the `ready` line.
     *
     * @throws IllegalStateException when the line is not printed within [timeoutMs] milliseconds or the process exits before
     */
    suspend fun awaitReady(timeoutMs: Long = READY_TIMEOUT_MS): ChildProcess {
        val deadline = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (true) {
            val line = output.readLines().firstOrNull { it.startsWith(READY) }
            if (line != null) {
                address = line.removePrefix(READY).trim()
                return this
            }
            check(isAlive) { "$name exited with code ${startedProcess().exitValue()} before it was ready:\n${tail()}" }
            check(System.nanoTime() < deadline) { "$name was not ready after $timeoutMs ms:\n${tail()}" }
            delay(READY_POLL_MS)
        }
    }

    /** Kills the process (SIGKILL) without a graceful shutdown, as a crash would. */
    fun kill() {
        val killed = startedProcess().destroyForcibly()
        killed.waitFor(EXIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        runningProcesses.remove(killed)
    }

    /** Sends SIGTERM without waiting for the exit. */
    fun terminate() = startedProcess().destroy()

    /** Waits for the process to exit and returns its exit code, or `null` when it still runs after [timeoutMs] milliseconds. */
    suspend fun awaitExitOrNull(timeoutMs: Long): Int? {
        val deadline = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (isAlive && System.nanoTime() < deadline) delay(READY_POLL_MS)
        return if (isAlive) null else startedProcess().exitValue()
    }

    /** Suspends the process (SIGSTOP), which simulates a long pause; its sockets stay open. */
    fun pause() = signal("STOP")

    /** Continues a paused process (SIGCONT). */
    fun resume() = signal("CONT")

    /** Returns the last lines of standard output and standard error, for failure messages. */
    fun tail(): String = (output.readLines() + log.readLines()).takeLast(TAIL_LINES).joinToString("\n")

    private fun signal(name: String) {
        val exit = ProcessBuilder("kill", "-$name", "$pid").inheritIO().start().waitFor()
        check(exit == 0) { "kill -$name $pid failed" }
    }

    private fun startedProcess(): Process = checkNotNull(process) { "$name was not started" }

    private companion object {
        const val READY = "ready "
        const val READY_TIMEOUT_MS = 30_000L
        const val READY_POLL_MS = 20L
        const val EXIT_TIMEOUT_MS = 5_000L
        const val TAIL_LINES = 40
        const val NANOS_PER_MS = 1_000_000L

        /** Only the C1 compiler is used, which keeps many small processes cheap on a shared machine. */
        val jvmOptions = listOf("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Djava.net.preferIPv4Stack=true")
        val javaCommand: String = File(System.getProperty("java.home"), "bin/java").path

        /** Surefire starts the test JVM with a jar that only refers to the class path, and passes the path itself in a system property. */
        val classPath: String = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")

        val runningProcesses: MutableSet<Process> = ConcurrentHashMap.newKeySet()

        init {
            Runtime.getRuntime().addShutdownHook(Thread { runningProcesses.forEach { it.destroyForcibly() } })
        }
    }
}
