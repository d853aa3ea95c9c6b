/*
 * The entries of targets in the store, and the names of adapters.
 */
package io.skylarkstile.gateway.model

import java.net.InetSocketAddress

/** Entry of a target in the store. */
data class TargetEntry(
    val id: String,
    val service: String,
    val address: InetSocketAddress,
    val dataCentre: String,
    val slots: Int,
    val isReady: Boolean,
    /** Start time of the target's process in Unix milliseconds; 0 if not given. */
    val startedAt: Long,
    /** Base models that the target has loaded, as of its last report. Its adapters are not part of the entry: the instance that holds
     * the target reports them sooner. */
    val models: Set<String>,
    /** Time in milliseconds for which the target is still cold, as of its last report. */
    val coldMs: Long = 0,
)

/** Names an adapter of a model. */
data class AdapterName(
    val model: String,
    val adapter: String,
) {
    override fun toString() = "$model/$adapter"
}

/** Identifies a version of an adapter; [version] 0 stands for an adapter that was never announced. */
data class AdapterVersion(
    val name: AdapterName,
    val version: Long,
) {
    override fun toString() = "$name@$version"

    companion object {
        /** Parses the output of [toString]. */
        fun parseOrNull(text: String): AdapterVersion? {
            val at = text.lastIndexOf('@')
            val slash = text.indexOf('/')
            if (slash < 1 || at < slash) return null
            val version = text.substring(at + 1).toLongOrNull() ?: return null
            return AdapterVersion(AdapterName(text.substring(0, slash), text.substring(slash + 1, at)), version)
        }
    }
}
