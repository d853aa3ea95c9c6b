/*
 * Settings of a stand-in that tests change at run time. A control call contains only the fields to change. Unknown fields are errors, since
 * a test with a misspelt fault would otherwise pass without the fault.
 */
package io.skylarkstile.standin.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Rejects unknown fields and encodes default values. */
internal val controlJson: Json = Json { encodeDefaults = true }

/** Holds the current settings of type [T]; safe for concurrent use. */
internal class Controls<T : Any>(
    private val serializer: KSerializer<T>,
    initial: T,
) {
    private val state = MutableStateFlow(initial)

    /** Emits the current settings and each change. */
    val changes: StateFlow<T> = state.asStateFlow()

    /** Current settings. */
    val now: T get() = state.value

    /** Returns the current settings as JSON. */
    fun toJson(): JsonElement = controlJson.encodeToJsonElement(serializer, now)

    /**
     * Merges the fields of the JSON object [body] into the settings, then passes its `action`, if any, to [runAction], which returns
     * `false` for an unknown action. Returns the resulting settings or an error message. A malformed body changes nothing; the fields
     * that come with an unknown action are applied.
     */
    fun apply(
        body: String,
        runAction: (String) -> Boolean,
    ): Result<JsonElement, String> = try {
        val fields = controlJson.parseToJsonElement(body).jsonObject
        merge(JsonObject(fields - ACTION))
        val action = fields[ACTION]?.jsonPrimitive?.contentOrNull
        if (action == null || runAction(action)) Ok(toJson()) else Err("no action '$action'")
    } catch (e: IllegalArgumentException) {
        Err(e.message ?: "malformed control body")
    }

    /** Decrements the "next n" setting that [read] and [write] access; returns `false` if it is already 0. */
    fun take(
        read: (T) -> Int,
        write: (T, Int) -> T,
    ): Boolean {
        while (true) {
            val old = state.value
            val left = read(old)
            if (left <= 0) return false
            if (state.compareAndSet(old, write(old, left - 1))) return true
        }
    }

    private fun merge(fields: JsonObject) {
        while (true) {
            val old = state.value
            val merged = JsonObject(controlJson.encodeToJsonElement(serializer, old).jsonObject + fields)
            if (state.compareAndSet(old, controlJson.decodeFromJsonElement(serializer, merged))) return
        }
    }
}

/**
 * Returns [initial] with the fields of the JSON object [changes] merged into it.
 *
 * @throws IllegalArgumentException if [changes] is malformed or contains an unknown field
 */
internal fun <T : Any> settingsOf(
    serializer: KSerializer<T>,
    initial: T,
    changes: String,
): T {
    val controls = Controls(serializer, initial)
    controls.apply(changes) { false }.onFailure { throw IllegalArgumentException(it) }
    return controls.now
}

private const val ACTION = "action"
