/*
 * What targets say of themselves in the store, and how adapters on them are named.
 */
package io.skylarkstile.gateway.model

import java.net.InetSocketAddress

/** One target's entry in the store. */
data class TargetEntry(
    val id: String,
    val service: String,
    val address: InetSocketAddress,
    val dataCentre: String,
    val slots: Int,
    val isReady: Boolean,
    /** Start of this incarnation in Unix milliseconds; 0 when the entry doesn't say. */
    val startedAt: Long,
    /** Base models that the target has, as of its last report. Its adapters are told by the holder of its orders, who knows them sooner. */
    val models: Set<String>,
)

/** Names an adapter of a model. */
data class AdapterName(
    val model: String,
    val adapter: String,
) {
    override fun toString() = "$model/$adapter"
}

/** Names one version of an adapter; [version] 0 stands for one that was never announced. */
data class AdapterVersion(
    val name: AdapterName,
    val version: Long,
) {
    override fun toString() = "$name@$version"

    companion object {
        /** Reads what [toString] writes. */
        fun parseOrNull(text: String): AdapterVersion? {
            val at = text.lastIndexOf('@')
            val slash = text.indexOf('/')
            if (slash < 1 || at < slash) return null
            val version = text.substring(at + 1).toLongOrNull() ?: return null
            return AdapterVersion(AdapterName(text.substring(0, slash), text.substring(slash + 1, at)), version)
        }
    }
}
