/*
 * Phases, steps and dumps of [OwnedTarget].
 */
package io.skylarkstile.entry.target

import io.skylarkstile.core.placement.SlotDump
import io.skylarkstile.core.placement.VictimChoice
import io.skylarkstile.core.queue.FairQueueDump
import kotlinx.serialization.Serializable

/** Lifecycle of an owned target; requests start only in phase [Ready]. */
internal enum class TargetPhase { Starting, Ready, Unreachable, Released }

/** Reports the state of one owned target. */
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

/** Next step of a load or cleanup, as decided by [OwnedTarget.beginLoad] and [OwnedTarget.beginCleanup]. */
internal sealed interface LoadStep {
    /** Loads the adapter at [path] under [handle]. */
    data class Load(
        val handle: String,
        val path: String,
        val restartCount: Int,
    ) : LoadStep

    /** Unloads the handle [victim], after which the caller asks for the next step. */
    data class Unload(
        val victim: String,
        val restartCount: Int,
    ) : LoadStep

    /** Does nothing: no step is possible now. */
    data object None : LoadStep
}
