/*
 * Shows the state of the fleet: the roster, the records by kind, the targets, and what each named instance says of itself.
 */
package io.skylarkstile.ctl.command

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.skylarkstile.config.record.Record
import io.skylarkstile.config.record.RecordKind
import io.skylarkstile.ctl.store.PresentRecords
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

internal class Status(
    private val records: RecordStore,
    private val http: HttpClient,
    private val console: Console,
) {
    suspend fun show(adminAddresses: List<String>): ExitCode {
        val platform = records.readAll().fold({ platform(it) }, { unavailable("platform: $it") })
        val answers = adminAddresses.map { instance(it) }
        return if (platform == ExitCode.OK && answers.all { it }) ExitCode.OK else ExitCode.UNAVAILABLE
    }

    private suspend fun platform(present: PresentRecords): ExitCode {
        console.out("revision ${present.revision}")
        roster()
        val all = present.table.stored
        console.out("records: " + RecordKind.entries.joinToString { kind -> "${all.count { it.kind == kind.label }} ${kind.label}" })
        present.table.unreadable.forEach { console.out("unreadable: ${it.kind} ${it.name} (version ${it.version}): ${it.problem}") }
        targets(present)
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

    private suspend fun targets(present: PresentRecords) {
        val listed =
            records.store
                .instances()
                .get()
                .orEmpty()
                .associate { it.instance to it.state }
        for ((id, record) in present.table
            .records()
            .entries
            .sortedBy { it.key.name }) {
            val target = (record as? Record.Target)?.record ?: continue
            val state = if (target.draining) "draining" else listed[id.name] ?: "not listed"
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
        val revision = dump?.find("snapshot", "revision") ?: "unknown"
        val lease = dump?.find("cluster", "leaseRemainingMs")?.plus(" ms") ?: "unknown"
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

private fun JsonObject.find(
    part: String,
    key: String,
): String? = ((this[part] as? JsonObject)?.get(key) as JsonElement?).let { (it as? JsonPrimitive)?.content }
