/*
 * Manages the ledger ranges that this instance owns. Ranges are independent of each other, so none waits for another.
 */
package io.skylarkstile.entry.ledger

import io.skylarkstile.core.cluster.Resource
import io.skylarkstile.core.cluster.ResourceHolder
import io.skylarkstile.core.cluster.ledgerResource
import io.skylarkstile.core.ledger.LedgerReply
import io.skylarkstile.schema.generated.LedgerAnswer
import io.skylarkstile.schema.generated.LedgerCall
import kotlinx.coroutines.CoroutineScope
import java.util.concurrent.ConcurrentHashMap

/** Records and runs calls whose ranges this instance owns. */
class LedgerOwner internal constructor(
    private val env: LedgerEnv,
    private val scope: CoroutineScope,
) : ResourceHolder {
    private val ownedRanges = ConcurrentHashMap<Int, OwnedRange>()

    override fun resources(): List<Resource> = (0 until env.ranges).map { ledgerResource(it) }

    override fun acquired(
        resource: Resource,
        epoch: Long,
    ) {
        val range = rangeOrNull(resource) ?: return
        ownedRanges.put(range, OwnedRange(range, epoch, env, scope))?.release()
    }

    /**
     * Stops starting calls of the range. Running calls continue and answer their callers. The new owner answers `unknown` to repeats of
     * them, so it need not wait, and no handle is reported as still in use.
     */
    override fun released(resource: Resource): Map<String, Int> {
        rangeOrNull(resource)?.let { ownedRanges.remove(it)?.release() }
        return emptyMap()
    }

    /** Returns the states of the owned ranges, sorted by range. */
    fun dump(): List<LedgerRangeState> = ownedRanges.values.map { it.state() }.sortedBy { it.range }

    internal suspend fun call(
        call: LedgerCall,
        key: LedgerKey,
    ): LedgerAnswer = ownedRanges[key.range(env.ranges)]?.call(call, key)
        ?: notRun(LedgerReply.NOT_OWNER, "instance ${env.self} does not own the key range of the call")

    private fun rangeOrNull(resource: Resource): Int? = resource.key
        .removePrefix(RESOURCE_PREFIX)
        .takeIf { it != resource.key }
        ?.toIntOrNull()
        ?.takeIf { it in 0 until env.ranges }

    private companion object {
        const val RESOURCE_PREFIX = "ledger/"
    }
}
