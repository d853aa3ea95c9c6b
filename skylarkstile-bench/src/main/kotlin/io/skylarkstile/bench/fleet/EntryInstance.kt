/*
 * Entry instances and their settings files.
 */
package io.skylarkstile.bench.fleet

import java.io.File

/** Addresses of one entry instance; the advertised ones lead through the fault proxy in a proxied fleet. */
data class EntryAddresses(
    val caller: String,
    val peer: String,
    val admin: String,
    val advertisedCaller: String,
    val advertisedPeer: String,
)

/** One entry instance of a fleet. */
class EntryInstance(
    val name: String,
    val process: ChildProcess,
    val addresses: EntryAddresses,
)

/** Returns the default settings of an instance, named `section.key`; the instances in [earlier] are its cluster seeds. */
fun entryDefaults(
    name: String,
    dataCentre: String,
    addresses: EntryAddresses,
    platform: String,
    earlier: List<EntryInstance>,
): Map<String, String> = mapOf(
    "instance.name" to name,
    "instance.dataCentre" to dataCentre,
    "instance.callerAddress" to addresses.caller,
    "instance.peerAddress" to addresses.peer,
    "instance.adminAddress" to addresses.admin,
    "instance.advertisedCallerAddress" to addresses.advertisedCaller,
    "instance.advertisedPeerAddress" to addresses.advertisedPeer,
    "platform.address" to platform,
    "cluster.name" to "harness",
    "cluster.seeds" to earlier.joinToString(",") { it.addresses.advertisedPeer },
)

/** Writes [settings], named `section.key`, to [file] in INI format. */
fun writeSettings(
    file: File,
    settings: Map<String, String>,
) {
    val sections = settings.entries.groupBy({ it.key.substringBefore('.') }, { it.key.substringAfter('.') to it.value })
    val text =
        sections.entries.joinToString("\n") { (section, keys) ->
            "[$section]\n" + keys.joinToString("") { (key, value) -> "$key = $value\n" }
        }
    file.parentFile.mkdirs()
    file.writeText(text)
}
