/*
 * Finds the address for a model the way callers do: it asks the system, keeps the answer for the stated time and goes on to the
 * next address when one does not answer.
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

/** Keeps address answers by model; [seeds] are asked when nothing is known. */
internal class AddressBook(
    private val client: HttpClient,
    private val seeds: List<String>,
    private val clock: () -> Long,
) {
    private data class Kept(
        val addresses: List<String>,
        val until: Long,
    )

    private val kept = ConcurrentHashMap<String, Kept>()

    suspend fun addresses(
        model: String,
        key: String,
    ): List<String> {
        val known = kept[model]
        if (known != null && clock() < known.until) return known.addresses
        for (address in (known?.addresses ?: emptyList()) + seeds.shuffled()) {
            val answer = askOrNull(address, model, key) ?: continue
            kept[model] = Kept(answer.addresses, clock() + answer.ttlMs)
            return answer.addresses
        }
        return seeds
    }

    /** Drops the answer for [model] after its first address failed. */
    fun forget(model: String) {
        kept.remove(model)
    }

    private suspend fun askOrNull(
        address: String,
        model: String,
        key: String,
    ): AddressAnswer? {
        val request =
            HttpRequest("GET", "/v1/address", headers = headersOf("authorization" to "Bearer $key"), rawUri = "/v1/address?model=$model")
        val answer = client.call(address, request, ASK_TIMEOUT_MS, idempotent = true).get() ?: return null
        val body = answer.bytes()
        return if (answer.status == 200) recordJson.decodeFromString(AddressAnswer.serializer(), body.decodeToString()) else null
    }

    private companion object {
        const val ASK_TIMEOUT_MS = 1_000L
    }
}
