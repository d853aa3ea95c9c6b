/*
 * Remembers when calls with a shared prompt part have succeeded. A part with which calls succeed is sound, however many targets have crashed
 * beside it.
 */
package io.skylarkstile.gateway.crash

/** Number of parts that are remembered; those whose last success is longest ago are forgotten first. */
private const val MAX_PARTS = 2_048

/** Number of successes that are remembered of one part, and of those for which room is made at first. */
private const val MAX_SUCCESSES = 64
private const val INITIAL_SUCCESSES = 2

/** Holds the last successes of the parts that calls use. Not thread-safe. */
internal class SuccessHistory {
    /** Ring of times that grows until it holds [MAX_SUCCESSES]. */
    private class Times {
        private var times = LongArray(INITIAL_SUCCESSES)
        private var count = 0L

        fun add(now: Long) {
            if (count >= times.size && times.size < MAX_SUCCESSES) times = times.copyOf(times.size * 2)
            times[(count++ % times.size).toInt()] = now
        }

        fun countSince(since: Long): Int = (0 until minOf(count, times.size.toLong()).toInt()).count { times[it] >= since }
    }

    private val history = LinkedHashMap<String, Times>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Records a successful call with [parts]. */
    fun record(
        parts: List<String>,
        now: Long,
    ) = parts.forEach { part ->
        history.getOrPut(part) { Times() }.add(now)
        if (history.size > MAX_PARTS) history.remove(history.keys.first())
    }

    /** Returns how many calls with [part] have succeeded at [since] or later, at most [MAX_SUCCESSES]. */
    fun countSince(
        part: String,
        since: Long,
    ): Int = history[part]?.countSince(since) ?: 0

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
