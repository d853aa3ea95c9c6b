/*
 * Decoding of the platform's records; each platform integration provides its own decoder.
 */
package io.skylarkstile.gateway.store

import com.github.michaelbull.result.Result
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.TargetEntry

/** Decodes records; the error of a result describes why the record is invalid. */
interface RecordDecoder {
    fun configuration(record: StoredObject): Result<Configuration, String>

    fun target(record: StoredObject): Result<TargetEntry, String>

    fun version(record: StoredObject): Result<AdapterVersion, String>

    /** Returns the name of the data centre that [record] asks to evacuate. */
    fun evacuation(record: StoredObject): Result<String, String>
}
