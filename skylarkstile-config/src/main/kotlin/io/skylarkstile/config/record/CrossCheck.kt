/*
 * Checks references between records. The records of the files are judged together with those already in force, since a file
 * may add an adapter to a workspace that is there.
 */
package io.skylarkstile.config.record

import io.skylarkstile.config.Finding
import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.TargetRecord

private val METHOD = Regex("[A-Z]+")

/** Says what is wrong with a record at [key]. */
data class Problem(
    val key: String?,
    val text: String,
)

/** Returns the faults of [files] as findings in file order, with [present] as the records in force. */
fun crossCheck(
    files: List<FileRecord>,
    present: Map<RecordId, Record> = emptyMap(),
): List<Finding> {
    val world = RecordWorld(present + files.associate { it.id to it.record })
    return files.flatMap { file -> world.problems(file.id).map { file.finding(it.key, it.text) } }
}

/** Answers questions about a set of [records] that belong together. */
class RecordWorld(
    private val records: Map<RecordId, Record>,
) {
    private val targets = records.mapNotNull { (id, record) -> (record as? Record.Target)?.let { id.name to it.record } }
    private val models = targets.mapNotNull { it.second.baseModel }.toSet()
    private val services = targets.mapNotNull { it.second.service }.toSet()
    private val byAddress = targets.groupBy({ it.second.address }, { it.first })

    /** Returns what is wrong with the record [id] in this set. */
    fun problems(id: RecordId): List<Problem> = when (val record = records[id]) {
        null -> emptyList()
        is Record.Workspace -> emptyList()
        is Record.Key -> listOfNotNull(needs("workspace", RecordId(RecordKind.WORKSPACE, record.record.workspace)))
        is Record.Adapter -> adapter(id.name, record.record)
        is Record.Version -> version(id.name, record.record.adapter)
        is Record.Route -> route(id.name, record.record)
        is Record.Target -> target(id.name, record.record)
    }

    /** Returns the records that [id] refers to, whether they exist or not. */
    fun dependencies(id: RecordId): List<RecordId> = when (val record = records[id]) {
        null, is Record.Workspace, is Record.Target -> emptyList()
        is Record.Key -> listOf(RecordId(RecordKind.WORKSPACE, record.record.workspace))
        is Record.Adapter -> adapterNeeds(id.name, record.record)
        is Record.Version -> listOf(RecordId(RecordKind.ADAPTER, record.record.adapter))
        is Record.Route -> routeNeeds(record.record)
    }

    /** Returns the records that refer to [id]. */
    fun dependents(id: RecordId): List<RecordId> = records.keys.filter { id in dependencies(it) }

    private fun adapterNeeds(
        name: String,
        adapter: AdapterRecord,
    ) = listOf(
        RecordId(RecordKind.WORKSPACE, adapter.workspace),
        RecordId(RecordKind.VERSION, "$name@${adapter.activeVersion}"),
    )

    private fun routeNeeds(route: RouteRecord): List<RecordId> {
        val servers =
            targets.filter { route.service != null && it.second.service == route.service }.map {
                RecordId(
                    RecordKind.TARGET,
                    it.first,
                )
            }
        return listOfNotNull(
            RecordId(RecordKind.WORKSPACE, route.workspace),
            route.adapter?.let { RecordId(RecordKind.ADAPTER, it) },
            route.adapter?.let { adapter -> route.version?.let { RecordId(RecordKind.VERSION, "$adapter@$it") } },
        ) + servers
    }

    private fun needs(
        key: String,
        id: RecordId,
    ): Problem? = Problem(key, "no $id").takeIf { id !in records }

    private fun usable(
        key: String,
        adapter: String,
        version: String,
    ): Problem? {
        val id = RecordId(RecordKind.VERSION, "$adapter@$version")
        val found = records[id] as? Record.Version ?: return Problem(key, "no $id")
        return Problem(key, "$id is withdrawn").takeIf { found.record.withdrawn }
    }

    private fun adapter(
        name: String,
        adapter: AdapterRecord,
    ) = listOfNotNull(
        needs("workspace", RecordId(RecordKind.WORKSPACE, adapter.workspace)),
        Problem("baseModel", "no engine target has base model ${adapter.baseModel}").takeIf { adapter.baseModel !in models },
        usable("activeVersion", name, adapter.activeVersion),
        Problem(null, "route $name has the same name").takeIf { RecordId(RecordKind.ROUTE, name) in records },
    )

    private fun version(
        name: String,
        adapter: String,
    ) = listOfNotNull(
        Problem(
            "adapter",
            "must be ${name.substringBefore('@')}, as in the section's name",
        ).takeIf { adapter != name.substringBefore('@') },
        needs("adapter", RecordId(RecordKind.ADAPTER, adapter)),
    )

    private fun route(
        name: String,
        route: RouteRecord,
    ): List<Problem> {
        val common =
            listOfNotNull(
                needs("workspace", RecordId(RecordKind.WORKSPACE, route.workspace)),
                Problem(null, "adapter $name has the same name").takeIf { RecordId(RecordKind.ADAPTER, name) in records },
                Problem("idempotentMethods", "expected methods such as GET,HEAD").takeIf { !areMethods(route.idempotentMethods) },
            )
        return common + if (route.type == RouteRecord.Type.Model) modelRoute(route) else serviceRoute(route)
    }

    private fun modelRoute(route: RouteRecord): List<Problem> {
        val foreign = Problem("service", "is not allowed on a model route").takeIf { route.service != null }
        val adapter = route.adapter ?: return listOfNotNull(Problem("adapter", "key is missing on a model route"), foreign)
        val found = records[RecordId(RecordKind.ADAPTER, adapter)] as? Record.Adapter
        return listOfNotNull(
            foreign,
            needs("adapter", RecordId(RecordKind.ADAPTER, adapter)),
            route.version?.let { usable("version", adapter, it) },
            found?.takeIf { it.record.workspace != route.workspace }?.let {
                Problem("adapter", "belongs to workspace ${it.record.workspace}, the route to ${route.workspace}")
            },
        )
    }

    private fun serviceRoute(route: RouteRecord): List<Problem> = listOfNotNull(
        Problem("adapter", "is not allowed on a service route").takeIf { route.adapter != null },
        Problem("version", "is not allowed on a service route").takeIf { route.version != null },
        when (route.service) {
            null -> Problem("service", "key is missing on a service route")
            !in services -> Problem("service", "no target serves ${route.service}")
            else -> null
        },
    )

    private fun target(
        name: String,
        target: TargetRecord,
    ): List<Problem> {
        val engine = target.type == TargetRecord.Type.Engine
        val others = byAddress[target.address].orEmpty() - name
        return listOfNotNull(
            Problem("baseModel", "key is missing on an engine").takeIf { engine && target.baseModel == null },
            Problem("service", "is not allowed on an engine").takeIf { engine && target.service != null },
            Problem("service", "key is missing on a service").takeIf { !engine && target.service == null },
            Problem("baseModel", "is not allowed on a service").takeIf { !engine && target.baseModel != null },
            others.firstOrNull()?.let { Problem("address", "is the address of target $it") },
        )
    }

    private fun areMethods(list: String) = list.isBlank() || list.split(',').all { METHOD.matches(it.trim()) }
}
