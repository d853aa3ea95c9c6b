/*
 * Checks references between records. The records of the files are checked together with those already stored, since a file
 * may add an adapter to an existing workspace.
 */
package io.skylarkstile.config.record

import io.skylarkstile.config.Finding
import io.skylarkstile.schema.generated.AdapterRecord
import io.skylarkstile.schema.generated.RouteRecord
import io.skylarkstile.schema.generated.TargetRecord

private val HTTP_METHOD = Regex("[A-Z]+")

/** Describes a problem of a record at [key], or of the whole record when [key] is `null`. */
data class Problem(
    val key: String?,
    val text: String,
)

/** Returns the problems of [files] as findings in file order; [present] are the records already stored. */
fun crossCheck(
    files: List<FileRecord>,
    present: Map<RecordId, Record> = emptyMap(),
): List<Finding> {
    val recordSet = RecordWorld(present + files.associate { it.id to it.record })
    return files.flatMap { file -> recordSet.problems(file.id).map { file.finding(it.key, it.text) } }
}

/** Resolves references within a set of [records]. */
class RecordWorld(
    private val records: Map<RecordId, Record>,
) {
    private val targets = records.mapNotNull { (id, record) -> (record as? Record.Target)?.let { id.name to it.record } }
    private val models = targets.mapNotNull { it.second.baseModel }.toSet()
    private val services = targets.mapNotNull { it.second.service }.toSet()
    private val byAddress = targets.groupBy({ it.second.address }, { it.first })

    /** Returns the problems of the record [id] within this set. */
    fun problems(id: RecordId): List<Problem> = when (val record = records[id]) {
        null -> emptyList()
        is Record.Workspace -> emptyList()
        is Record.Key -> listOfNotNull(missingProblemOrNull("workspace", RecordId(RecordKind.WORKSPACE, record.record.workspace)))
        is Record.Adapter -> adapterProblems(id.name, record.record)
        is Record.Version -> versionProblems(id.name, record.record.adapter)
        is Record.Route -> routeProblems(id.name, record.record)
        is Record.Target -> targetProblems(id.name, record.record)
    }

    /** Returns the records that [id] refers to, whether they exist or not. */
    fun dependencies(id: RecordId): List<RecordId> = when (val record = records[id]) {
        null, is Record.Workspace, is Record.Target -> emptyList()
        is Record.Key -> listOf(RecordId(RecordKind.WORKSPACE, record.record.workspace))
        is Record.Adapter -> adapterReferences(id.name, record.record)
        is Record.Version -> listOf(RecordId(RecordKind.ADAPTER, record.record.adapter))
        is Record.Route -> routeReferences(record.record)
    }

    /** Returns the records that refer to [id]. */
    fun dependents(id: RecordId): List<RecordId> = records.keys.filter { id in dependencies(it) }

    private fun adapterReferences(
        name: String,
        adapter: AdapterRecord,
    ) = listOf(
        RecordId(RecordKind.WORKSPACE, adapter.workspace),
        RecordId(RecordKind.VERSION, "$name@${adapter.activeVersion}"),
    )

    private fun routeReferences(route: RouteRecord): List<RecordId> {
        val serviceTargets =
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
        ) + serviceTargets
    }

    private fun missingProblemOrNull(
        key: String,
        id: RecordId,
    ): Problem? = Problem(key, "no $id").takeIf { id !in records }

    private fun versionProblemOrNull(
        key: String,
        adapter: String,
        version: String,
    ): Problem? {
        val id = RecordId(RecordKind.VERSION, "$adapter@$version")
        val found = records[id] as? Record.Version ?: return Problem(key, "no $id")
        return Problem(key, "$id is withdrawn").takeIf { found.record.withdrawn }
    }

    private fun adapterProblems(
        name: String,
        adapter: AdapterRecord,
    ) = listOfNotNull(
        missingProblemOrNull("workspace", RecordId(RecordKind.WORKSPACE, adapter.workspace)),
        Problem("baseModel", "no engine target has base model ${adapter.baseModel}").takeIf { adapter.baseModel !in models },
        versionProblemOrNull("activeVersion", name, adapter.activeVersion),
        Problem(null, "route $name has the same name").takeIf { RecordId(RecordKind.ROUTE, name) in records },
    )

    private fun versionProblems(
        name: String,
        adapter: String,
    ) = listOfNotNull(
        Problem(
            "adapter",
            "must be ${name.substringBefore('@')}, as in the section's name",
        ).takeIf { adapter != name.substringBefore('@') },
        missingProblemOrNull("adapter", RecordId(RecordKind.ADAPTER, adapter)),
    )

    private fun routeProblems(
        name: String,
        route: RouteRecord,
    ): List<Problem> {
        val common =
            listOfNotNull(
                missingProblemOrNull("workspace", RecordId(RecordKind.WORKSPACE, route.workspace)),
                Problem(null, "adapter $name has the same name").takeIf { RecordId(RecordKind.ADAPTER, name) in records },
                Problem("idempotentMethods", "expected methods such as GET,HEAD").takeIf { !areMethods(route.idempotentMethods) },
            )
        return common + if (route.type == RouteRecord.Type.Model) modelRouteProblems(route) else serviceRouteProblems(route)
    }

    private fun modelRouteProblems(route: RouteRecord): List<Problem> {
        val serviceProblem = Problem("service", "is not allowed on a model route").takeIf { route.service != null }
        val adapter = route.adapter ?: return listOfNotNull(Problem("adapter", "key is missing on a model route"), serviceProblem)
        val found = records[RecordId(RecordKind.ADAPTER, adapter)] as? Record.Adapter
        return listOfNotNull(
            serviceProblem,
            missingProblemOrNull("adapter", RecordId(RecordKind.ADAPTER, adapter)),
            route.version?.let { versionProblemOrNull("version", adapter, it) },
            found?.takeIf { it.record.workspace != route.workspace }?.let {
                Problem("adapter", "belongs to workspace ${it.record.workspace}, the route to ${route.workspace}")
            },
        )
    }

    private fun serviceRouteProblems(route: RouteRecord): List<Problem> = listOfNotNull(
        Problem("adapter", "is not allowed on a service route").takeIf { route.adapter != null },
        Problem("version", "is not allowed on a service route").takeIf { route.version != null },
        when (route.service) {
            null -> Problem("service", "key is missing on a service route")
            !in services -> Problem("service", "no target serves ${route.service}")
            else -> null
        },
    )

    private fun targetProblems(
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

    private fun areMethods(list: String) = list.isBlank() || list.split(',').all { HTTP_METHOD.matches(it.trim()) }
}
