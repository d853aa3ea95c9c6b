/*
 * What the holder of a target needs to know of the fleet, from the current configuration and from the other instances.
 */
package io.skylarkstile.gateway.main

import io.skylarkstile.gateway.adapter.FleetView
import io.skylarkstile.gateway.adapter.MODEL_LOAD_WINDOW_MS
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.Engine
import io.skylarkstile.gateway.peer.PeerExchange
import io.skylarkstile.gateway.relay.RelayContext
import io.skylarkstile.gateway.target.TargetState

private const val MS_PER_S = 1_000.0

/** Views the fleet through [serving] and [exchange]. */
internal class GatewayFleetView(
    private val serving: RelayContext,
    private val exchange: PeerExchange,
    private val suspensionCheck: () -> Unit,
) : FleetView {
    override fun checkSuspension() = suspensionCheck()

    override fun isInUse(
        target: TargetState,
        adapter: AdapterVersion,
    ): Boolean = adapter in target.adapterCalls || exchange.isInUseElsewhere(target, adapter)

    override fun currentVersion(name: AdapterName): AdapterVersion = serving.currentVersion(name)

    override fun missingModelOrNull(
        target: TargetState,
        held: Set<String>,
    ): String? {
        val models = engineOrNull(target.entry.service)?.models?.map { it.name }.orEmpty()
        if (models.isEmpty() || models.any { it in held }) return null
        return models.minBy { model -> serving.targets.ready(target.entry.service).count { model in it.models } }
    }

    override fun maxModelLoads(service: String): Int {
        val perSecond = engineOrNull(service)?.loadsPerSecond ?: return 0
        return (perSecond * MODEL_LOAD_WINDOW_MS / MS_PER_S / serving.instanceCount).toInt().coerceAtLeast(1)
    }

    override fun adapterCapacity(
        service: String,
        held: Set<String>,
    ): Int = engineOrNull(service)?.maxAdapters(held) ?: 0

    override fun hasAdapters(service: String): Boolean = (engineOrNull(service)?.adapterCapacity ?: 0) > 0

    private fun engineOrNull(service: String): Engine? = serving.configuration
        ?.services
        ?.get(service)
        ?.engine
}
