/*
 * A lower bound of the loads that any placement needs for a trace: all slots of the fleet act as one cache that knows the future and
 * evicts the adapter whose next use is farthest away (Belady, 1966). A real fleet needs at least as many loads, since its slots are
 * divided among engines and a load takes time.
 */
package io.skylarkstile.bench.trace

import java.util.TreeSet

/** Returns the least number of loads for [trace] with [slots] slots that start empty. */
fun leastLoads(
    trace: Trace,
    slots: Int,
): Int {
    val next = nextUses(trace)
    val cached = HashMap<String, Long>()
    val byNextUse = TreeSet<Pair<Long, String>>(compareBy({ it.first }, { it.second }))
    var loads = 0
    trace.arrivals.forEachIndexed { i, arrival ->
        val known = cached.remove(arrival.adapter)
        if (known != null) {
            byNextUse.remove(known to arrival.adapter)
        } else {
            loads++
            if (cached.size >= slots) byNextUse.pollLast()?.let { cached.remove(it.second) }
        }
        cached[arrival.adapter] = next[i]
        byNextUse.add(next[i] to arrival.adapter)
    }
    return loads
}

private fun nextUses(trace: Trace): LongArray {
    val later = HashMap<String, Long>()
    val next = LongArray(trace.arrivals.size)
    for (i in trace.arrivals.indices.reversed()) {
        val adapter = trace.arrivals[i].adapter
        next[i] = later[adapter] ?: Long.MAX_VALUE
        later[adapter] = i.toLong()
    }
    return next
}
