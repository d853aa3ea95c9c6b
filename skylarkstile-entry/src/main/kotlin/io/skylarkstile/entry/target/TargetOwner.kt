/*
 * Engine targets that this instance owns. All requests to a target pass through its owner, which therefore knows exactly what runs there.
 */
package io.skylarkstile.entry.target

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.cluster.ResourceHolder
import io.skylarkstile.core.cluster.targetResource
import io.skylarkstile.core.dispatch.DispatchEvent
import io.skylarkstile.core.snapshot.Snapshot
import io.skylarkstile.core.snapshot.SnapshotSource
import io.skylarkstile.schema.generated.Dispatch
import io.skylarkstile.schema.generated.TargetRecord
import io.skylarkstile.schema.generated.TargetState
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

private val log = KotlinLogging.logger {}

/** Holds engine targets and runs requests on those that this instance owns. */
interface TargetOwner : ResourceHolder {
    /**
     * Runs [request] on its target. The flow ends with [DispatchEvent.End]: `done` when the whole answer was forwarded, `not-run` when
     * no part of the request ran, `unknown` otherwise. Cancelling the collector cancels the request at the engine.
     */
    fun run(request: Dispatch): Flow<DispatchEvent>

    /** Ends all running requests as `unknown` with [reason]; used when the instance has been without a lease for too long. */
    fun abortRunning(reason: String)

    /** Returns the names of the owned targets. */
    fun targets(): Set<String>

    /** Returns the current state of [target] with a new sequence number, or null when this instance does not own it. */
    fun stateOrNull(target: String): TargetState?

    fun dump(): List<OwnedTargetDump>
}

/** Creates the [TargetOwner] of the targets in [snapshots]. Calls [onStateChange] with a target name after each state change. */
internal fun targetOwner(
    snapshots: SnapshotSource,
    env: TargetEnv,
    onStateChange: (String) -> Unit = {},
): TargetOwner = OwnedTargets(snapshots, env, onStateChange)

internal class OwnedTargets(
    private val snapshots: SnapshotSource,
    private val env: TargetEnv,
    private val onStateChange: (String) -> Unit,
) : TargetOwner {
    private class OwnedEntry(
        val target: OwnedTarget,
        val control: EngineControl,
    )

    private val owned = ConcurrentHashMap<String, OwnedEntry>()

    /** Epochs of the held resources, including those whose record is not known yet. */
    private val epochs = ConcurrentHashMap<Resource, Long>()

    /** Released targets whose requests still run, by name; their handles stay pinned for a later acquisition by this instance. */
    private val retired = ConcurrentHashMap<String, CopyOnWriteArrayList<OwnedTarget>>()

    init {
        snapshots.onChange(::onRecordsChanged)
    }

    override fun resources(): List<Resource> = snapshots
        .current()
        .targets
        .filterValues { it.type == TargetRecord.Type.Engine }
        .map { (name, record) -> targetResource(name, record.dataCentre) }

    override fun acquired(
        resource: Resource,
        epoch: Long,
    ) {
        epochs[resource] = epoch
        val name = resource.key.substringAfter('/')
        val config = configOrNull(snapshots.current(), name)
        owned.compute(name) { _, before ->
            val isSame = before != null && config != null && before.target.epoch == epoch && !isOtherEngine(config, before.target)
            if (isSame) return@compute before.also { it.target.update(config) }
            before?.let { retire(it) }
            config?.let { start(name, resource, epoch, it) }
        }
        onStateChange(name)
    }

    private fun start(
        name: String,
        resource: Resource,
        epoch: Long,
        config: TargetConfig,
    ): OwnedEntry {
        log.event(Level.INFO, "target-taken-over", "target" to name, "epoch" to epoch) { "took over target $name" }
        val target = OwnedTarget(name, epoch, resource, env, config, { retiredPins(name) }) { onStateChange(name) }
        return OwnedEntry(target, EngineControl(target, env)).also { it.control.start() }
    }

    private fun retire(owned: OwnedEntry) {
        owned.control.stop()
        val name = owned.target.name
        if (owned.target.release().isNotEmpty()) retired.getOrPut(name) { CopyOnWriteArrayList() }.add(owned.target)
    }

    private fun retiredPins(name: String): Map<String, Int> {
        val targets = retired[name] ?: return emptyMap()
        val pins = HashMap<String, Int>()
        targets.forEach { target ->
            val running = target.release()
            if (running.isEmpty()) targets.remove(target)
            running.forEach { (handle, count) -> pins.merge(handle, count, Int::plus) }
        }
        return pins
    }

    override fun released(resource: Resource): Map<String, Int> {
        epochs.keys.removeIf { it.key == resource.key }
        return stop(resource)
    }

    private fun stop(resource: Resource): Map<String, Int> {
        val name = resource.key.substringAfter('/')
        owned.remove(name)?.let { retire(it) }
        return retiredPins(name)
    }

    private fun onRecordsChanged(snapshot: Snapshot) {
        epochs.forEach { (resource, epoch) ->
            val target = owned[resource.key.substringAfter('/')]?.target
            val config = configOrNull(snapshot, resource.key.substringAfter('/'))
            when {
                config == null -> stop(resource)
                target == null || isOtherEngine(config, target) -> acquired(resource, epoch)
                else -> target.update(config)
            }
        }
    }

    private fun isOtherEngine(
        config: TargetConfig,
        target: OwnedTarget,
    ): Boolean = config.record.address != target.address || config.record.fencing != target.fencing

    private fun configOrNull(
        snapshot: Snapshot,
        name: String,
    ): TargetConfig? {
        val record = snapshot.targets[name]?.takeIf { it.type == TargetRecord.Type.Engine } ?: return null
        return TargetConfig(record, accepting = !record.draining && name !in snapshot.leavingTargets)
    }

    override fun run(request: Dispatch): Flow<DispatchEvent> {
        val entry = owned[request.target] ?: return flowOf(DispatchEvent.End(notRun("not-owner", "target ${request.target}")))
        return runOn(entry.target, entry.control, request, env)
    }

    override fun abortRunning(reason: String) {
        owned.values.forEach { it.target.abortRunning(reason) }
        retired.values.flatten().forEach { it.abortRunning(reason) }
    }

    override fun targets(): Set<String> = owned.keys.toSet()

    override fun stateOrNull(target: String): TargetState? = owned[target]?.target?.state()

    override fun dump(): List<OwnedTargetDump> = owned.values.map { it.target.dump() }
}
