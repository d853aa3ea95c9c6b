/*
 * Resolves the addresses for a model as callers do: asks an entry instance, caches the answer for its time to live, and tries the next
 * address when one does not answer.
 */
package io.skylarkstile.bench.load

import com.github.michaelbull.result.get
import io.skylarkstile.schema.recordJson
import io.skylarkstile.transport.http.HttpClient
import io.skylarkstile.transport.http.HttpRequest
import io.skylarkstile.transport.http.bytes
import io.skylarkstile.transport.http.headersOf
import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap

@Serializable
internal data class AddressAnswer(
    val addresses: List<String>,
    val ttlMs: Long,
)

/** Caches address answers by model. Queries the addresses of the last answers first and [seeds] after them. [clock] is in milliseconds. */
internal class AddressBook(
    private val client: HttpClient,
    private val seeds: List<String>,
    private val clock: () -> Long,
) {
    private data class CachedAnswer(
        val addresses: List<String>,
        val expiresAt: Long,
    )

    private val cache = ConcurrentHashMap<String, CachedAnswer>()

    /** Addresses in the newest answer for any model; needed for new models when all seeds have been replaced. */
    @Volatile
    private var latestAddresses: List<String> = emptyList()

    /** Returns the addresses to use for [model], from the cache or from an instance; all known addresses when no instance answers. */
    suspend fun addresses(
        model: String,
        key: String,
    ): List<String> {
        val cached = cache[model]
        if (cached != null && clock() < cached.expiresAt) return cached.addresses
        val candidates = (cached?.addresses.orEmpty() + latestAddresses + seeds.shuffled()).distinct()
        for (address in candidates) {
            val answer = queryOrNull(address, model, key) ?: continue
            latestAddresses = answer.addresses
            cache[model] = CachedAnswer(answer.addresses, clock() + answer.ttlMs)
            return answer.addresses
        }
        return candidates
    }

    /** Expires the cached answer for [model] after [address] failed; the next lookup queries its other addresses for a new answer. */
    fun expire(
        model: String,
        address: String,
    ) {
        cache.computeIfPresent(model) { _, cached -> CachedAnswer(cached.addresses - address, clock()) }
    }

    private suspend fun queryOrNull(
        address: String,
        model: String,
        key: String,
    ): AddressAnswer? {
        val request =
            HttpRequest("GET", "/v1/address", headers = headersOf("authorization" to "Bearer $key"), rawUri = "/v1/address?model=$model")
        val answer = client.call(address, request, QUERY_TIMEOUT_MS, idempotent = true).get() ?: return null
        val body = answer.bytes()
        return if (answer.status == 200) recordJson.decodeFromString(AddressAnswer.serializer(), body.decodeToString()) else null
    }

    private companion object {
        const val QUERY_TIMEOUT_MS = 1_000L
    }
}
