/*
 * Collects the counters and the resource usage of a site's processes during a run.
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

/** Resource usage of one process since its start; [sentBytes] counts all bytes written, to sockets and files. */
private data class Usage(
    val pid: Long,
    val atNanos: Long,
    val cpuNanos: Long,
    val sentBytes: Long,
)

/** Counters of an entry instance: requests started, and requests that waited for an adapter load. */
private data class StallCounters(
    val started: Long,
    val waited: Long,
    val waitedMs: Long,
    val longestMs: Long,
)

/** Measures one run. Call [beginIdle], [beginRun] and [end] in this order, and [beforeStop] before stopping an instance in between. */
class FleetMeter(
    private val site: SiteFleet,
) {
    private var idleStart: Map<String, Usage> = emptyMap()
    private var runStart: Map<String, Usage> = emptyMap()
    private val stoppedCounters = ConcurrentHashMap<Long, StallCounters>()

    fun beginIdle() {
        idleStart = usages()
    }

    suspend fun beginRun() {
        runStart = usages()
        site.engines.forEach { it.control.set("""{"action":"resetCounters"}""") }
        site.fleet.objects.set("""{"action":"resetCalls"}""")
    }

    /** Saves the counters of [entry], which are lost when its process stops. Requests that it starts afterwards are not counted. */
    suspend fun beforeStop(entry: EntryInstance) {
        stallCountersOrNull(entry)?.let { stoppedCounters[entry.process.pid] = it }
    }

    /** Reads all counters after a run of [seconds] seconds. */
    suspend fun end(seconds: Double): FleetCounts {
        val after = usages()
        val calls = site.fleet.objects.stateObject("calls")
        val stalls = stoppedCounters.values + site.entries.filter { it.process.isAlive }.mapNotNull { stallCountersOrNull(it) }
        val batches = site.engines.map { it.control.stateObject("batch") }
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
        val first = idleStart[entry.name] ?: return null
        val begin = runStart[entry.name] ?: return null
        val last = after[entry.name]?.takeIf { it.pid == first.pid } ?: return null
        return InstanceCost(
            idleCorePercent = PERCENT * ratio(begin.cpuNanos - first.cpuNanos, begin.atNanos - first.atNanos),
            corePercent = PERCENT * ratio(last.cpuNanos - begin.cpuNanos, last.atNanos - begin.atNanos),
            residentMiB = residentKiB(last.pid) / KIB_PER_MIB,
            idleSentBytesPerSecond = NANOS_PER_SECOND * ratio(begin.sentBytes - first.sentBytes, begin.atNanos - first.atNanos),
            sentBytesPerSecond = NANOS_PER_SECOND * ratio(last.sentBytes - begin.sentBytes, last.atNanos - begin.atNanos),
        )
    }

    private suspend fun stallCountersOrNull(entry: EntryInstance): StallCounters? {
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
        return StallCounters(stalls.count("started"), stalls.count("waited"), stalls.count("waitedMs"), stalls.count("longestMs"))
    }

    private companion object {
        val CALL_TYPES = listOf("get", "list", "put", "delete", "watch", "instances")
        const val TIMEOUT_MS = 5_000L
        const val PERCENT = 100.0
        const val KIB_PER_MIB = 1_024.0
        const val NANOS_PER_SECOND = 1e9
    }
}

private suspend fun StandinControl.stateObject(name: String): JsonObject = state().jsonObject.getValue(name).jsonObject

private fun JsonObject.count(name: String): Long = get(name)?.jsonPrimitive?.long ?: 0

private fun ratio(
    stateObject: Number,
    whole: Number,
): Double = if (whole.toDouble() == 0.0) 0.0 else stateObject.toDouble() / whole.toDouble()

private fun usageOf(pid: Long): Usage {
    val cpu =
        ProcessHandle
            .of(pid)
            .flatMap { it.info().totalCpuDuration() }
            .map { it.toNanos() }
            .orElse(0L)
    return Usage(pid, System.nanoTime(), cpu, procValue("/proc/$pid/io", "wchar:"))
}

private fun residentKiB(pid: Long): Long = procValue("/proc/$pid/status", "VmRSS:")

private fun procValue(
    file: String,
    label: String,
): Long {
    val line = File(file).readLines().first { it.startsWith(label) }
    return line
        .removePrefix(label)
        .trim()
        .substringBefore(' ')
        .toLong()
}
