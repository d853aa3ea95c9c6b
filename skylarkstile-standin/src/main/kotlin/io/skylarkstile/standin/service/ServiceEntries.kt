/*
 * Stores the entries and execution counts of the plain service. Entry numbers are consecutive per collection, so executions share one lock.
 */
package io.skylarkstile.standin.service

import io.skylarkstile.transport.http.HttpRequest
import kotlinx.serialization.json.JsonElement

/** Holds the entries by collection; safe for concurrent use. */
internal class ServiceEntries {
    private val lock = Any()
    private val entries = HashMap<String, MutableList<ServiceEntry>>()
    private val byKey = LinkedHashMap<String, Int>()
    private val byRequest = LinkedHashMap<String, Int>()
    private var executed = 0L
    private var reads = 0L

    /** Adds [body] to [collection] and counts the execution by idempotency key and request id. */
    fun execute(
        collection: String,
        body: JsonElement,
        request: HttpRequest,
    ): ServiceEntry = synchronized(lock) {
        executed++
        request.headers["Idempotency-Key"]?.let { byKey.merge(it, 1, Int::plus) }
        request.headers["X-Request-Id"]?.let { byRequest.merge(it, 1, Int::plus) }
        val kept = entries.getOrPut(collection) { ArrayList() }
        ServiceEntry(collection, kept.size + 1L, body).also { kept.add(it) }
    }

    fun read(collection: String): List<ServiceEntry> = synchronized(lock) {
        reads++
        entries[collection]?.toList().orEmpty()
    }

    fun state(settings: ServiceSettings): ServiceState =
        synchronized(lock) { ServiceState(executed, reads, byKey.toMap(), byRequest.toMap(), settings) }

    fun reset() {
        synchronized(lock) {
            entries.clear()
            byKey.clear()
            byRequest.clear()
            executed = 0
            reads = 0
        }
    }
}
