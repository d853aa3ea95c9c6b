/*
 * Counts the crashes of targets by shared prompt part, over the reports of all instances.
 *
 * A call whose target crashed accuses all of its parts, most of them wrongly. A harmful part is in the calls of crash after crash while no
 * call with it succeeds. Sound parts that happen to be in many crashes are in far more successful calls; and once a part is blocked, the
 * crashes in which it was accuse no other part.
 */
package io.skylarkstile.gateway.crash

import io.skylarkstile.schema.generated.CrashReport
import io.skylarkstile.schema.generated.PartVerdict
import io.skylarkstile.schema.generated.TargetCrash

/**
 * Number of parts with crashes that are remembered. Only the crash of a target under a call adds one, and those with the least crashes are
 * forgotten first, so that calls with ever new parts don't push out a blocked one.
 */
private const val MAX_RECORDS = 4_096

/** Crashes within this time that the same instances report count once, in milliseconds: their own link may have failed. */
private const val CORRELATED_MS = 250L

/** Time for which crashes are kept, in milliseconds: longer than instances report them, so that none counts twice. */
private const val CRASH_TTL_MS = 2 * EVIDENCE_WINDOW_MS

/** Counts the crashes that instances report. Not thread-safe. */
internal class CrashTally {
    /** Crash of one target at [at], with the processes that reported it by part. */
    private class Crash(
        val at: Long,
    ) {
        val reporters = HashMap<String, MutableSet<String>>()
    }

    private class RankedRecord(
        val part: String,
        val record: PartRecord,
        val crashes: List<Map.Entry<String, Crash>>,
        val rank: Int,
    )

    private val records = HashMap<String, PartRecord>()
    private val crashes = LinkedHashMap<String, Crash>()
    private val reportNumbers = HashMap<String, Long>()

    /** Handles the [report] of the instance [sender]; an earlier report than the last one is ignored. */
    fun receive(
        sender: String,
        report: CrashReport,
        now: Long,
    ) {
        val process = "$sender/${report.startedAt}"
        if (report.number <= (reportNumbers[process] ?: -1)) return
        reportNumbers[process] = report.number
        report.crashes.forEach { receive(it, process, now) }
        report.successes.forEach { records[it.part]?.setSuccesses(process, it.calls, it.priorCalls, now) }
        report.passedTrials.forEach { records[it.part]?.release(it.crashes, now) }
    }

    private fun receive(
        reported: TargetCrash,
        process: String,
        now: Long,
    ) {
        if (reported.ageMs > EVIDENCE_WINDOW_MS) return
        val crash = crashes.getOrPut(reported.target) { Crash(now - reported.ageMs) }
        reported.parts.forEach { part ->
            val record = recordOf(part)
            crash.reporters
                .getOrPut(part) {
                    record.totalCrashes++
                    HashSet()
                }.add(process)
        }
    }

    /** Handles the [verdict] of another instance that counts. */
    fun receive(
        verdict: PartVerdict,
        now: Long,
    ) {
        when (verdict.state) {
            PartVerdict.State.Blocked -> if (verdict.part !in records) recordOf(verdict.part).adopt(verdict, now)
            PartVerdict.State.Released -> records[verdict.part]?.release(verdict.crashes, now)
            PartVerdict.State.Suspected -> Unit
        }
    }

    private fun recordOf(part: String): PartRecord {
        records[part]?.let { return it }
        if (records.size >= MAX_RECORDS) {
            records
                .filterValues { !it.isBlocked }
                .minByOrNull { it.value.totalCrashes }
                ?.let { records.remove(it.key) }
        }
        return PartRecord(part).also { records[part] = it }
    }

    /** Forgets the last reports of the instances that aren't [members] any more; what they reported still counts. */
    fun retain(members: Set<String>) {
        reportNumbers.keys.removeIf { it.substringBeforeLast('/') !in members }
    }

    /** Decides at [now], with [targets] targets in use, and returns the verdicts that all instances have to know. */
    fun decide(
        now: Long,
        targets: Int,
    ): List<PartVerdict> {
        if (records.isEmpty()) return emptyList()
        crashes.values.removeIf { now - it.at > CRASH_TTL_MS }
        val recent = crashes.count { now - it.value.at <= EVIDENCE_WINDOW_MS }
        val explained = HashSet<String>()
        ranked(now).forEach { ranked ->
            val record = ranked.record
            val own = ranked.crashes.filter { now - it.value.at <= EVIDENCE_WINDOW_MS }
            val accusing = own.filter { it.key !in explained && it.value.at > record.releasedAt }
            val sinceBlock = record.blockedAt?.let { at -> independent(ranked.part, accusing.filter { it.value.at > at }) } ?: 0
            val evidence =
                PartEvidence(independent(ranked.part, accusing), accusing.minOfOrNull { it.value.at }, recent - own.size, targets)
            record.decide(evidence, sinceBlock, now)
            if (record.isBlocked) explained += ranked.crashes.map { it.key }
        }
        records.entries.removeIf { (part, record) ->
            !record.isBlocked && !record.isRecentlyReleased(now, CRASH_TTL_MS) && crashes.values.none { part in it.reporters }
        }
        return records.values.mapNotNull { it.verdictOrNull(now) }
    }

    /**
     * Returns the records in the order in which they explain crashes: parts without earlier successes first, then those with the most crashes
     * beyond their successes.
     */
    private fun ranked(now: Long): List<RankedRecord> {
        val crashesByPart = HashMap<String, ArrayList<Map.Entry<String, Crash>>>()
        crashes.entries.forEach { crash ->
            crash.value.reporters.keys
                .forEach { crashesByPart.getOrPut(it) { ArrayList() }.add(crash) }
        }
        return records
            .map { (part, record) ->
                val own = crashesByPart[part].orEmpty()
                val recent = own.filter { now - it.value.at <= EVIDENCE_WINDOW_MS }
                RankedRecord(part, record, own, independent(part, recent) - record.successfulCalls())
            }.sortedWith(compareBy({ it.record.wasSound() }, { -it.rank }, { it.part }))
    }

    /** Returns the number of [accusing] crashes of [part], without those that only instances report that have reported another just before. */
    private fun independent(
        part: String,
        accusing: List<Map.Entry<String, Crash>>,
    ): Int {
        val counted = ArrayList<Crash>()
        accusing.map { it.value }.sortedBy { it.at }.forEach { crash ->
            val reporters = crash.reporters.getValue(part)
            val isCorrelated = counted.any { crash.at - it.at < CORRELATED_MS && it.reporters.getValue(part).containsAll(reporters) }
            if (!isCorrelated) counted.add(crash)
        }
        return counted.size
    }
}
