/*
 * Simulates a prefix cache: an LRU cache of prompt blocks per adapter. As with real engines, its events are published late and some are
 * missing.
 */
package io.skylarkstile.standin.engine

import io.skylarkstile.standin.http.monotonicMs
import kotlinx.serialization.Serializable
import kotlin.random.Random

/** Describes a change of the prefix cache; [type] is `stored` or `removed`. */
@Serializable
internal data class CacheEvent(
    val id: Long,
    val type: String,
    val adapter: String,
    val block: String,
)

/** Represents the response of `GET /v1/cache_events`. */
@Serializable
internal data class CacheEvents(
    val events: List<CacheEvent>,
)

/** Holds the cached blocks and the published events; safe for concurrent use. */
internal class PrefixCache {
    private val lock = Any()
    private val blocks = LinkedHashMap<Long, String>(16, 0.75f, true)
    private val events = ArrayDeque<Pair<Long, CacheEvent>>()
    private var lastId = 0L

    /** Looks up and stores the blocks of [prompt], which [generated] tokens follow. Returns the number of cached and of uncached tokens. */
    fun lookUp(
        adapter: String,
        prompt: String,
        generated: Int,
        settings: EngineSettings,
    ): Pair<Int, Int> = synchronized(lock) {
        val total = promptTokens(prompt) + generated
        val keys = blockKeys(adapter, prompt)
        val hits = keys.takeWhile { blocks[it] != null }.size
        keys.drop(hits).forEach { store(it, adapter, settings) }
        val cached = minOf(hits * BLOCK_TOKENS, total - 1)
        cached to total - cached
    }

    /** Returns the events with ids above [after] that are already published, given a delay of [lagMs] milliseconds. */
    fun eventsAfter(
        after: Long,
        lagMs: Long,
    ): CacheEvents {
        val until = monotonicMs() - lagMs
        return synchronized(lock) { CacheEvents(events.filter { (at, event) -> event.id > after && at <= until }.map { it.second }) }
    }

    fun clear() {
        synchronized(lock) {
            blocks.clear()
            events.clear()
        }
    }

    private fun store(
        key: Long,
        adapter: String,
        settings: EngineSettings,
    ) {
        blocks[key] = adapter
        publish("stored", adapter, key, settings)
        while (blocks.size > settings.cacheBlocks) {
            val (oldKey, oldAdapter) = blocks.entries.first()
            blocks.remove(oldKey)
            publish("removed", oldAdapter, oldKey, settings)
        }
    }

    private fun publish(
        type: String,
        adapter: String,
        key: Long,
        settings: EngineSettings,
    ) {
        lastId++
        if (Random.nextDouble() < settings.cacheEventGapShare) return
        events.addLast(monotonicMs() to CacheEvent(lastId, type, adapter, "%016x".format(key)))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** Returns the keys of complete blocks. A key depends on all preceding text, since a block is only reusable after the same prefix. */
    private fun blockKeys(
        adapter: String,
        prompt: String,
    ): List<Long> = prompt
        .chunked(BLOCK_CHARS)
        .filter { it.length == BLOCK_CHARS }
        .runningFold(adapter.hashCode().toLong()) { key, block -> key * FNV_PRIME + block.hashCode() }
        .drop(1)
}

/** Returns the simulated number of tokens in [prompt]. */
internal fun promptTokens(prompt: String): Int = prompt.length / CHARS_PER_TOKEN + 1

private const val CHARS_PER_TOKEN = 4
private const val BLOCK_TOKENS = 16
private const val BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
private const val FNV_PRIME = 0x100000001b3L
private const val MAX_EVENTS = 10_000
