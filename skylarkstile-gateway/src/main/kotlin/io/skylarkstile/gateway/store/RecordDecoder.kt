/*
 * How the platform's records read; an interface to a platform brings its own decoder.
 */
package io.skylarkstile.gateway.store

import com.github.michaelbull.result.Result
import io.skylarkstile.gateway.model.AdapterVersion
import io.skylarkstile.gateway.model.Configuration
import io.skylarkstile.gateway.model.TargetEntry

/** Decodes records; the error says what is wrong with one that can't be used. */
interface RecordDecoder {
    fun configuration(record: StoredObject): Result<Configuration, String>

    fun target(record: StoredObject): Result<TargetEntry, String>

    fun version(record: StoredObject): Result<AdapterVersion, String>
}
