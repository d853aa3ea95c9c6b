/*
 * Phases, steps and dumps of [OwnedTarget].
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.placement.SlotDump
import io.skylarkstile.core.placement.VictimChoice
import io.skylarkstile.core.queue.FairQueueDump
import kotlinx.serialization.Serializable

/** Tells what the owner can do with the target. */
internal enum class TargetPhase { Starting, Ready, Unreachable, Released }

/** State of one owned target for dumps. */
@Serializable
data class OwnedTargetDump(
    val target: String,
    val epoch: Long,
    val phase: String,
    val bootId: String?,
    val running: Int,
    val slots: List<SlotDump>,
    val queue: FairQueueDump,
    val popular: Map<String, Double>,
    val loadMs: Long,
    val lastVictim: VictimChoice?,
    val backoffs: Map<String, Int>,
)

/** A decision of [OwnedTarget.beginLoad]. */
internal sealed interface LoadStep {
    /** Load [path] under [handle]. */
    data class Load(
        val handle: String,
        val path: String,
        val boot: Int,
    ) : LoadStep

    /** Unload [victim] first, then ask again. */
    data class Unload(
        val victim: String,
        val boot: Int,
    ) : LoadStep

    /** Nothing can be done now. */
    data object None : LoadStep
}
