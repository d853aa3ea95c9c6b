/*
 * What the processes of a site counted and used during a run.
 */
package io.skylarkstile.bench.fleet

import com.github.michaelbull.result.getOrElse
import io.skylarkstile.bench.report.FleetCounts
import io.skylarkstile.bench.report.InstanceCost
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.io.File
import java.util.concurrent.ConcurrentHashMap

/** Counters of one process so far; [sentBytes] are all bytes written, to sockets and files. */
private data class Usage(
    val pid: Long,
    val atNanos: Long,
    val cpuNanos: Long,
    val sentBytes: Long,
)

/** Requests started and stalled, as an entry instance counts them. */
private data class Stalls(
    val started: Long,
    val waited: Long,
    val waitedMs: Long,
    val longestMs: Long,
)

/** Call [beginIdle], [beginRun] and [end] in this order, and [beforeStop] before an instance is stopped during the run. */
class FleetMeter(
    private val site: SiteFleet,
) {
    private var idle: Map<String, Usage> = emptyMap()
    private var running: Map<String, Usage> = emptyMap()
    private val stopped = ConcurrentHashMap<Long, Stalls>()

    fun beginIdle() {
        idle = usages()
    }

    suspend fun beginRun() {
        running = usages()
        site.engines.forEach { it.control.set("""{"action":"resetCounters"}""") }
        site.fleet.objects.set("""{"action":"resetCalls"}""")
    }

    /** Keeps the counters of [entry], which end with its process. What it starts after this is not counted. */
    suspend fun beforeStop(entry: EntryInstance) {
        stallsOrNull(entry)?.let { stopped[entry.process.pid] = it }
    }

    /** Reads all counters; the run took [seconds] seconds. */
    suspend fun end(seconds: Double): FleetCounts {
        val after = usages()
        val calls = site.fleet.objects.part("calls")
        val stalls = stopped.values + site.entries.filter { it.process.isAlive }.mapNotNull { stallsOrNull(it) }
        val batches = site.engines.map { it.control.part("batch") }
        val started = stalls.sumOf { it.started }
        val waited = stalls.sumOf { it.waited }
        val tokens = batches.sumOf { it.count("batchSum") }.toDouble()
        return FleetCounts(
            loads = site.weights.value("loads").toInt(),
            startedRequests = started.toInt(),
            stalledRequests = waited.toInt(),
            stalledShare = ratio(waited.toDouble(), started.toDouble()),
            meanStallMs = ratio(stalls.sumOf { it.waitedMs }.toDouble(), waited.toDouble()),
            longestStallMs = stalls.maxOfOrNull { it.longestMs }?.toDouble() ?: 0.0,
            batchEfficiency = ratio(tokens, batches.sumOf { it.count("possibleSum") }.toDouble()),
            tokensPerStep = ratio(tokens, batches.sumOf { it.count("steps") }.toDouble()),
            evictionsInUse = site.engines.sumOf { it.control.value("orders", "evictionsInUse").toInt() },
            platformCallsPerInstanceSecond = CALL_TYPES.sumOf { calls.count(it) } / seconds / site.entries.size,
            instances = site.entries.mapNotNull { entry -> costOrNull(entry, after)?.let { entry.name to it } }.toMap(),
        )
    }

    private fun usages(): Map<String, Usage> = site.entries.filter { it.process.isAlive }.associate { it.name to usageOf(it.process.pid) }

    private fun costOrNull(
        entry: EntryInstance,
        after: Map<String, Usage>,
    ): InstanceCost? {
        val first = idle[entry.name] ?: return null
        val begin = running[entry.name] ?: return null
        val last = after[entry.name]?.takeIf { it.pid == first.pid } ?: return null
        return InstanceCost(
            idleCorePercent = PERCENT * ratio(begin.cpuNanos - first.cpuNanos, begin.atNanos - first.atNanos),
            corePercent = PERCENT * ratio(last.cpuNanos - begin.cpuNanos, last.atNanos - begin.atNanos),
            residentMiB = residentKiB(last.pid) / KIB_PER_MIB,
            idleSentBytesPerSecond = NANOS_PER_SECOND * ratio(begin.sentBytes - first.sentBytes, begin.atNanos - first.atNanos),
            sentBytesPerSecond = NANOS_PER_SECOND * ratio(last.sentBytes - begin.sentBytes, last.atNanos - begin.atNanos),
        )
    }

    private suspend fun stallsOrNull(entry: EntryInstance): Stalls? {
        val answer = site.fleet.client.call(entry.addresses.admin, HttpRequest("GET", "/dump"), TIMEOUT_MS, idempotent = true)
        val text = answer.getOrElse { return null }.bytes().decodeToString()
        val stalls =
            recordJson
                .parseToJsonElement(text)
                .jsonObject
                .getValue("targets")
                .jsonObject
                .getValue("stalls")
                .jsonObject
        return Stalls(stalls.count("started"), stalls.count("waited"), stalls.count("waitedMs"), stalls.count("longestMs"))
    }

    private companion object {
        val CALL_TYPES = listOf("get", "list", "put", "delete", "watch", "instances")
        const val TIMEOUT_MS = 5_000L
        const val PERCENT = 100.0
        const val KIB_PER_MIB = 1_024.0
        const val NANOS_PER_SECOND = 1e9
    }
}

private suspend fun Control.part(name: String): JsonObject = state().jsonObject.getValue(name).jsonObject

private fun JsonObject.count(name: String): Long = get(name)?.jsonPrimitive?.long ?: 0

private fun ratio(
    part: Number,
    whole: Number,
): Double = if (whole.toDouble() == 0.0) 0.0 else part.toDouble() / whole.toDouble()

private fun usageOf(pid: Long): Usage {
    val cpu =
        ProcessHandle
            .of(pid)
            .flatMap { it.info().totalCpuDuration() }
            .map { it.toNanos() }
            .orElse(0L)
    return Usage(pid, System.nanoTime(), cpu, lineOf("/proc/$pid/io", "wchar:"))
}

private fun residentKiB(pid: Long): Long = lineOf("/proc/$pid/status", "VmRSS:")

private fun lineOf(
    file: String,
    start: String,
): Long {
    val line = File(file).readLines().first { it.startsWith(start) }
    return line
        .removePrefix(start)
        .trim()
        .substringBefore(' ')
        .toLong()
}
