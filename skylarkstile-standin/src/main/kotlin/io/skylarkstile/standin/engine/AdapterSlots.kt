/*
 * Tracks the adapter slots of an engine: loaded adapters, loads in progress, and the requests that use each adapter. Adapters are only
 * unloaded by an order; the engine never evicts one itself.
 */
package io.skylarkstile.standin.engine

import kotlinx.serialization.Serializable

/** Describes a loaded adapter in reports; [running] counts its requests, including queued ones. */
@Serializable
internal data class LoadedAdapter(
    val name: String,
    val path: String,
    val running: Int,
)

/** Tells whether a load order can start, or why not. */
internal enum class LoadStart { Started, AlreadyLoaded, OtherPath, InProgress, NoFreeSlot }

/** Holds the loaded and loading adapters; safe for concurrent use. */
internal class AdapterSlots {
    private val lock = Any()
    private val loaded = LinkedHashMap<String, Slot>()
    private val loading = LinkedHashMap<String, String>()

    private class Slot(
        val path: String,
        val jobs: MutableSet<Job> = LinkedHashSet(),
    )

    /** Reserves one of [slots] slots for a load of [handle] from [path] if possible. */
    fun beginLoad(
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

    /** Completes the load of [handle]; returns `false` if the engine was restarted in the meantime. */
    fun finishLoad(
        handle: String,
        succeeded: Boolean,
    ): Boolean = synchronized(lock) {
        val path = loading.remove(handle) ?: return false
        if (succeeded) loaded[handle] = Slot(path)
        true
    }

    fun pathOrNull(handle: String): String? = synchronized(lock) { loaded[handle]?.path }

    /** Registers [job] as a user of [handle]; returns `false` if the adapter is not loaded. */
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

    /** Removes [handle] and returns the requests that were using it, or `null` if it is not loaded. */
    fun unloadOrNull(handle: String): List<Job>? = synchronized(lock) { loaded.remove(handle)?.jobs?.toList() }

    /** Clears all slots, as a restarted engine does, and returns the requests that were using them. */
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
