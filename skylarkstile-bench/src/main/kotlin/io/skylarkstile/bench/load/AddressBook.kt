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

/** Keeps address answers by model. Asks the addresses of the last answers first and [seeds] after them. */
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

    /** Addresses of the newest answer for any model; they are asked when all seeds have been replaced. */
    @Volatile
    private var latest: List<String> = emptyList()

    suspend fun addresses(
        model: String,
        key: String,
    ): List<String> {
        val known = kept[model]
        if (known != null && clock() < known.until) return known.addresses
        val places = (known?.addresses.orEmpty() + latest + seeds.shuffled()).distinct()
        for (address in places) {
            val answer = askOrNull(address, model, key) ?: continue
            latest = answer.addresses
            kept[model] = Kept(answer.addresses, clock() + answer.ttlMs)
            return answer.addresses
        }
        return places
    }

    /** Ends the time of the answer for [model] after [address] failed; the other addresses are asked for a new one. */
    fun forget(
        model: String,
        address: String,
    ) {
        kept.computeIfPresent(model) { _, known -> Kept(known.addresses - address, clock()) }
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
