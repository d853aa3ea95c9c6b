/*
 * Listeners that apply the store's configuration, targets and adapter versions. An invalid record is logged and skipped; the others are
 * applied.
 */
package io.skylarkstile.gateway.main

import com.github.michaelbull.result.get
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.skylarkstile.config.log.event
import io.skylarkstile.gateway.model.AdapterName
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.TargetEntry
import io.skylarkstile.gateway.store.RecordDecoder
import io.skylarkstile.gateway.store.StoreListener
import io.skylarkstile.gateway.store.StorePage
import io.skylarkstile.gateway.store.StoredObject
import io.skylarkstile.gateway.target.TargetTable

private val log = KotlinLogging.logger {}

/**
 * Passes each configuration that is newer than the last one to [apply], and confirmations to [confirm]. While the newest one can't be used,
 * nothing is confirmed, since it may have withdrawn keys that the one in force has.
 */
internal class ConfigurationListener(
    private val records: RecordDecoder,
    private val confirm: (at: Long, requestedAt: Long) -> Unit,
    private val apply: (Configuration, Long) -> Unit,
) : StoreListener {
    private var revision = -1L
    private var isNewestUnusable = false

    override fun onListed(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) = page.objects.forEach { read(it, now) }

    override fun onChanged(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) = page.objects.forEach { read(it, now) }

    override fun onConfirmed(
        at: Long,
        requestedAt: Long,
        revision: Long,
    ) {
        if (!isNewestUnusable) confirm(at, requestedAt)
    }

    private fun read(
        item: StoredObject,
        now: Long,
    ) {
        if (item.spec == null || item.revision <= revision) return
        records
            .configuration(item)
            .onFailure {
                isNewestUnusable = true
                log.event(Level.ERROR, "configuration-unusable", "revision" to item.revision) { it }
            }.onSuccess { configuration ->
                isNewestUnusable = false
                revision = item.revision
                apply(configuration, now)
                log.event(Level.INFO, "configuration-in-force", "configuration" to configuration.version, "revision" to item.revision) {
                    "configuration applied"
                }
            }
    }
}

/** Keeps [targets] in line with the store. */
internal class TargetListener(
    private val records: RecordDecoder,
    private val targets: TargetTable,
    private val remove: (id: String, now: Long, reappearUntil: Long?) -> Unit,
    private val changed: () -> Unit,
) : StoreListener {
    override fun onListed(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        targets.replace(page.objects.mapNotNull(::entryOrNull), now, reappearUntil)
        changed()
    }

    override fun onChanged(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        page.objects.forEach { item ->
            val entry = entryOrNull(item)
            if (entry != null) targets.put(entry) else removeTarget(item, now, reappearUntil)
        }
        changed()
    }

    override fun onConfirmed(
        at: Long,
        requestedAt: Long,
        revision: Long,
    ) = Unit

    private fun removeTarget(
        item: StoredObject,
        now: Long,
        reappearUntil: Long?,
    ) {
        log.event(
            Level.INFO,
            "target-gone",
            "target" to item.name,
            "revision" to item.revision,
            "returnBy" to reappearUntil,
        ) { "target was removed from the store" }
        remove(item.name, now, reappearUntil)
    }

    private fun entryOrNull(item: StoredObject): TargetEntry? {
        if (item.spec == null) return null
        return records
            .target(item)
            .onFailure { log.event(Level.WARN, "target-unusable", "target" to item.name) { it } }
            .get()
    }
}

/** Keeps the newest version number of each adapter in [versions]. */
internal class VersionListener(
    private val records: RecordDecoder,
    private val versions: MutableMap<AdapterName, Long>,
) : StoreListener {
    override fun onListed(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) = page.objects.forEach(::read)

    override fun onChanged(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) = page.objects.forEach(::read)

    override fun onConfirmed(
        at: Long,
        requestedAt: Long,
        revision: Long,
    ) = Unit

    private fun read(item: StoredObject) {
        if (item.spec == null) return
        records
            .version(item)
            .onFailure { log.event(Level.WARN, "version-unusable", "record" to item.name) { it } }
            .onSuccess { version ->
                if ((versions[version.name] ?: 0) >= version.version) return
                versions[version.name] = version.version
                log.event(Level.INFO, "version-announced", "adapter" to "$version", "revision" to item.revision) { "new adapter version" }
            }
    }
}

/**
 * Applies the evacuations of data centres, which have to be complete [boundMs] after the store has accepted them, to [targets]. [dataCentres]
 * are the known ones; an evacuation of another one has no effect. A record that can't be read neither begins nor ends an evacuation.
 */
internal class EvacuationListener(
    private val records: RecordDecoder,
    private val targets: TargetTable,
    private val dataCentres: Set<String>,
    private val boundMs: Long,
) : StoreListener {
    /** Time at which the view was last known to be current; null before the first list, which may contain old evacuations. */
    private var confirmedAt: Long? = null

    override fun onListed(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) {
        page.objects.forEach { read(it, now) }
        val listed = page.objects.mapTo(HashSet()) { it.name }
        targets.evacuatedDataCentres.filter { it !in listed }.forEach { end(it, now, page.revision) }
    }

    override fun onChanged(
        page: StorePage,
        now: Long,
        reappearUntil: Long?,
    ) = page.objects.forEach { if (it.spec == null) end(it.name, now, it.revision) else read(it, now) }

    override fun onConfirmed(
        at: Long,
        requestedAt: Long,
        revision: Long,
    ) {
        confirmedAt = maxOf(confirmedAt ?: at, at)
    }

    private fun read(
        item: StoredObject,
        now: Long,
    ) = records
        .evacuation(item)
        .onFailure { log.event(Level.WARN, "evacuation-unusable", "record" to item.name, "revision" to item.revision) { it } }
        .onSuccess { begin(it, now, item.revision) }

    private fun begin(
        dataCentre: String,
        now: Long,
        revision: Long,
    ) {
        if (!targets.evacuate(dataCentre, now, confirmedAt, boundMs)) return
        val ageMs = confirmedAt?.let { now - it }
        log.event(Level.INFO, "evacuation-begun", "dataCentre" to dataCentre, "revision" to revision, "viewAgeMs" to ageMs) {
            "calls leave the data centre"
        }
        if (dataCentres.isNotEmpty() && dataCentre !in dataCentres) {
            log.event(Level.WARN, "evacuation-unknown", "dataCentre" to dataCentre) { "no data centre has this name" }
        }
    }

    private fun end(
        dataCentre: String,
        now: Long,
        revision: Long,
    ) {
        if (!targets.endEvacuation(dataCentre, now)) return
        log.event(Level.INFO, "evacuation-ended", "dataCentre" to dataCentre, "revision" to revision) { "calls return to the data centre" }
    }
}
