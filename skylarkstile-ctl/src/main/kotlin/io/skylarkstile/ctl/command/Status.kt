/*
 * Prints the state of the fleet: the roster, the number of records by kind, the targets, and the state that each given instance reports.
 */
package io.skylarkstile.ctl.command

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.ctl.store.CurrentRecords
import io.skylarkstile.ctl.store.RecordStore
import io.skylarkstile.schema.generated.Roster
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Time limit of one call to an admin port in milliseconds. */
private const val ADMIN_TIMEOUT_MS = 2_000L

/** Prints the fleet state; the current records and the roster come from the platform, instance states from the admin ports. */
internal class Status(
    private val records: RecordStore,
    private val http: HttpClient,
    private val console: Console,
) {
    /** Prints everything that can be read; returns [ExitCode.UNAVAILABLE] when the platform or an instance does not respond. */
    suspend fun show(adminAddresses: List<String>): ExitCode {
        val platform = records.readAll().fold({ platform(it) }, { unavailable("platform: $it") })
        val answers = adminAddresses.map { instance(it) }
        return if (platform == ExitCode.OK && answers.all { it }) ExitCode.OK else ExitCode.UNAVAILABLE
    }

    private suspend fun platform(currentRecords: CurrentRecords): ExitCode {
        console.out("revision ${currentRecords.revision}")
        roster()
        val all = currentRecords.table.stored
        console.out("records: " + RecordKind.entries.joinToString { kind -> "${all.count { it.kind == kind.label }} ${kind.label}" })
        currentRecords.table.unreadable.forEach { console.out("unreadable: ${it.kind} ${it.name} (version ${it.version}): ${it.problem}") }
        targets(currentRecords)
        return ExitCode.OK
    }

    private suspend fun roster() {
        val stored = records.read("roster", "main").getOrElse { return console.err("roster: $it") }
        val roster = stored?.value?.let { runCatching { recordJson.decodeFromString<Roster>(it) }.getOrNull() }
        if (roster == null) return console.out("roster: ${if (stored == null) "no members yet" else "unreadable"}")
        console.out("roster: revision ${roster.revision}, ${roster.members.size} members")
        for (member in roster.members.sortedBy { it.instance }) {
            console.out(
                "  ${member.instance} ${member.state.value} ${member.dataCentre} callers=${member.callerAddress} peers=${member.peerAddress}",
            )
        }
    }

    private suspend fun targets(currentRecords: CurrentRecords) {
        val listedStates =
            records.store
                .instances()
                .get()
                .orEmpty()
                .associate { it.instance to it.state }
        for ((id, record) in currentRecords.table
            .records()
            .entries
            .sortedBy { it.key.name }) {
            val target = (record as? Record.Target)?.record ?: continue
            val state = if (target.draining) "draining" else listedStates[id.name] ?: "not listed"
            console.out(
                "target ${id.name} ${target.type.value} ${target.address} ${target.dataCentre} ${target.baseModel ?: target.service} $state",
            )
        }
    }

    private suspend fun instance(address: String): Boolean {
        val ready = call(address, "/readyz")
        val dump = call(address, "/dump")?.let { runCatching { recordJson.parseToJsonElement(it.text) as? JsonObject }.getOrNull() }
        if (ready == null) {
            console.out("instance $address: no answer")
            return false
        }
        val readiness = if (ready.status == 200) "ready" else "not ready (${ready.text.trim().lines().first()})"
        val revision = dump?.stringOrNull("snapshot", "revision") ?: "unknown"
        val lease = dump?.stringOrNull("cluster", "leaseRemainingMs")?.plus(" ms") ?: "unknown"
        console.out("instance $address: $readiness, revision $revision, lease $lease")
        return true
    }

    private class Answer(
        val status: Int,
        val text: String,
    )

    private suspend fun call(
        address: String,
        path: String,
    ): Answer? = runCatching {
        http.call(address, HttpRequest("GET", path), ADMIN_TIMEOUT_MS, idempotent = true).get()?.let { answer ->
            Answer(answer.status, answer.bytes().decodeToString())
        }
    }.getOrNull()

    private fun unavailable(reason: String): ExitCode {
        console.err(reason)
        return ExitCode.UNAVAILABLE
    }
}

private fun JsonObject.stringOrNull(
    part: String,
    key: String,
): String? = ((this[part] as? JsonObject)?.get(key) as JsonElement?).let { (it as? JsonPrimitive)?.content }
