/*
 * The adapter slots of an engine: what is loaded, what is being loaded, and which requests use it. The engine never gives up an
 * adapter on its own.
 */
package io.skylarkstile.standin.engine

import kotlinx.serialization.Serializable

/** One loaded adapter in reports; [running] counts its requests, queued ones included. */
@Serializable
internal data class LoadedAdapter(
    val name: String,
    val path: String,
    val running: Int,
)

/** Result of a load order before the load itself. */
internal enum class LoadStart { Started, AlreadyLoaded, OtherPath, InProgress, NoFreeSlot }

internal class AdapterSlots {
    private val lock = Any()
    private val loaded = LinkedHashMap<String, Slot>()
    private val loading = LinkedHashMap<String, String>()

    private class Slot(
        val path: String,
        val jobs: MutableSet<Job> = LinkedHashSet(),
    )

    fun begin(
        handle: String,
        path: String,
        slots: Int,
    ): LoadStart = synchronized(lock) {
        val present = loaded[handle]
        when {
            present != null -> if (present.path == path) LoadStart.AlreadyLoaded else LoadStart.OtherPath
            handle in loading -> LoadStart.InProgress
            loaded.size + loading.size >= slots -> LoadStart.NoFreeSlot
            else -> LoadStart.Started.also { loading[handle] = path }
        }
    }

    /** Ends the load of [handle]; returns `false` when the engine has restarted in between. */
    fun finish(
        handle: String,
        succeeded: Boolean,
    ): Boolean = synchronized(lock) {
        val path = loading.remove(handle) ?: return false
        if (succeeded) loaded[handle] = Slot(path)
        true
    }

    fun pathOrNull(handle: String): String? = synchronized(lock) { loaded[handle]?.path }

    /** Notes that [job] uses [handle]; returns `false` when the adapter is not loaded. */
    fun attach(
        handle: String,
        job: Job,
    ): Boolean = synchronized(lock) { loaded[handle]?.jobs?.add(job) ?: false }

    fun detach(
        handle: String,
        job: Job,
    ) {
        synchronized(lock) { loaded[handle]?.jobs?.remove(job) }
    }

    /** Removes [handle] and returns the requests that used it, or `null` when it is not loaded. */
    fun unloadOrNull(handle: String): List<Job>? = synchronized(lock) { loaded.remove(handle)?.jobs?.toList() }

    /** Forgets everything, as a restart does, and returns the requests that were in the engine. */
    fun clear(): List<Job> = synchronized(lock) {
        val jobs = loaded.values.flatMap { it.jobs }
        loaded.clear()
        loading.clear()
        jobs
    }

    fun loaded(): List<LoadedAdapter> =
        synchronized(lock) { loaded.map { (handle, slot) -> LoadedAdapter(handle, slot.path, slot.jobs.size) } }

    fun loading(): List<String> = synchronized(lock) { loading.keys.toList() }
}
