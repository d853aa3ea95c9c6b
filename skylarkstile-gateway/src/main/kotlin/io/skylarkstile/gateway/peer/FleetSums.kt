/*
 * Sums over the states of instances. Every message carries complete sums, so a lost one only delays an update.
 */
package io.skylarkstile.gateway.peer

import io.skylarkstile.gateway.admission.ShareDemand
import io.skylarkstile.gateway.target.CallWeight
import io.skylarkstile.schema.generated.GatewayState
import io.skylarkstile.schema.generated.TargetLoads
import io.skylarkstile.schema.generated.TargetUse
import io.skylarkstile.schema.generated.WorkspaceDemand

/** Returns the summed weight of the calls in [states] by target. */
internal fun weightsOf(states: Collection<GatewayState>): Map<String, CallWeight> {
    val weights = HashMap<String, CallWeight>()
    states.forEach { state ->
        state.calls.forEach { weights.merge(it.target, CallWeight(it.calls, it.tokens, it.unreadTokens), CallWeight::plus) }
    }
    return weights
}

/** Returns the weights in [loads] by target. If a malformed message has lists of different lengths, their common part is used. */
internal fun weightsIn(loads: TargetLoads): Map<String, CallWeight> {
    val count = minOf(loads.targets.size, loads.calls.size, loads.tokens.size, loads.unreadTokens.size)
    return (0 until count).associate { loads.targets[it] to CallWeight(loads.calls[it], loads.tokens[it], loads.unreadTokens[it]) }
}

internal fun loadsOf(weights: Map<String, CallWeight>): TargetLoads {
    val entries = weights.entries.toList()
    return TargetLoads(
        targets = entries.map { it.key },
        calls = entries.map { it.value.calls },
        tokens = entries.map { it.value.tokens },
        unreadTokens = entries.map { it.value.unreadTokens },
    )
}

/** Returns the sums of [all] by target. */
internal fun sumOf(all: Collection<Map<String, CallWeight>>): Map<String, CallWeight> {
    val sums = HashMap<String, CallWeight>()
    all.forEach { weights -> weights.forEach { (target, weight) -> sums.merge(target, weight, CallWeight::plus) } }
    return sums
}

/** Returns the adapters that calls in [states] use, by target. */
internal fun usesOf(states: Collection<GatewayState>): List<TargetUse> = states
    .flatMap { it.calls }
    .filter { it.adapters.isNotEmpty() }
    .groupBy { it.target }
    .map { (target, calls) -> TargetUse(target, calls.flatMap { it.adapters }.distinct()) }

/** Returns [demands] by workspace. */
internal fun demandsIn(demands: List<WorkspaceDemand>): Map<String, ShareDemand> =
    demands.associate { it.workspace to ShareDemand(it.tokensPerSecond, it.admitted) }

/** Returns the sums of [all] by workspace. */
internal fun sumOfDemands(all: Collection<Map<String, ShareDemand>>): Map<String, ShareDemand> {
    val sums = HashMap<String, ShareDemand>()
    all.forEach { demands -> demands.forEach { (workspace, demand) -> sums.merge(workspace, demand, ShareDemand::plus) } }
    return sums
}

internal fun workspaceDemandsOf(demands: Map<String, ShareDemand>): List<WorkspaceDemand> =
    demands.map { (workspace, demand) -> WorkspaceDemand(workspace, demand.tokensPerSecond, demand.admitted) }
