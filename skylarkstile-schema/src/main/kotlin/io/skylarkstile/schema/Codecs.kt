package io.skylarkstile.schema

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.Json

/** Reads and writes records, HTTP bodies and dumps. Unknown keys are skipped so that mixed releases can read each other. */
val recordJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
    }

/** Reads and writes messages between instances. Unknown keys are skipped so that mixed releases can talk. */
@OptIn(ExperimentalSerializationApi::class)
val peerCbor: Cbor =
    Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }
