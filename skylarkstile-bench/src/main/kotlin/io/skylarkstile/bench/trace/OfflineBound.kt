/*
 * Computes a lower bound on the adapter loads that any placement policy needs for a trace. All slots of the fleet are treated as one cache
 * with optimal replacement, which evicts the adapter whose next use is farthest in the future (Belady, 1966). A real fleet needs at
 * least as many loads, since its slots are divided among engines and a load takes time.
 */
package io.skylarkstile.bench.trace

import java.util.TreeSet

/** Returns the minimum number of loads for [trace] with [slots] slots that are empty at the start. */
fun leastLoads(
    trace: Trace,
    slots: Int,
): Int {
    val nextUse = nextUses(trace)
    val cached = HashMap<String, Long>()
    val byNextUse = TreeSet<Pair<Long, String>>(compareBy({ it.first }, { it.second }))
    var loads = 0
    trace.arrivals.forEachIndexed { i, arrival ->
        val previousKey = cached.remove(arrival.adapter)
        if (previousKey != null) {
            byNextUse.remove(previousKey to arrival.adapter)
        } else {
            loads++
            if (cached.size >= slots) byNextUse.pollLast()?.let { cached.remove(it.second) }
        }
        cached[arrival.adapter] = nextUse[i]
        byNextUse.add(nextUse[i] to arrival.adapter)
    }
    return loads
}

private fun nextUses(trace: Trace): LongArray {
    val nextUseOf = HashMap<String, Long>()
    val nextUse = LongArray(trace.arrivals.size)
    for (i in trace.arrivals.indices.reversed()) {
        val adapter = trace.arrivals[i].adapter
        nextUse[i] = nextUseOf[adapter] ?: Long.MAX_VALUE
        nextUseOf[adapter] = i.toLong()
    }
    return nextUse
}
