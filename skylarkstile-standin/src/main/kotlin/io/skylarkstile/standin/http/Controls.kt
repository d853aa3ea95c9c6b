/*
 * Settings of a stand-in that tests change while it runs. A control call names only the fields it changes; unknown fields are
 * an error, so that a misspelt fault does not pass a test silently.
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

/** Reads control bodies strictly and writes all fields, also those with default values. */
internal val controlJson: Json = Json { encodeDefaults = true }

/** Holds the present settings of type [T]. */
internal class Controls<T : Any>(
    private val serializer: KSerializer<T>,
    initial: T,
) {
    private val state = MutableStateFlow(initial)

    /** Follows the settings. */
    val changes: StateFlow<T> = state.asStateFlow()

    /** Present settings. */
    val now: T get() = state.value

    /** Returns the present settings as JSON. */
    fun toJson(): JsonElement = controlJson.encodeToJsonElement(serializer, now)

    /**
     * Merges the fields of the JSON object [body] into the settings and then runs its `action`, if any, with [act].
     * Returns the settings in force, or what is wrong with [body]; nothing is changed in that case.
     */
    fun apply(
        body: String,
        act: (String) -> Boolean,
    ): Result<JsonElement, String> = try {
        val fields = controlJson.parseToJsonElement(body).jsonObject
        merge(JsonObject(fields - ACTION))
        val action = fields[ACTION]?.jsonPrimitive?.contentOrNull
        if (action == null || act(action)) Ok(toJson()) else Err("no action '$action'")
    } catch (e: IllegalArgumentException) {
        Err(e.message ?: "malformed control body")
    }

    /** Counts the "next n" setting that [read] and [write] stand for down by one; returns `false` when it is at 0. */
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
 * @throws IllegalArgumentException when [changes] is malformed or names an unknown field
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
