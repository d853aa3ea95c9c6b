package io.skylarkstile.schema

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.json.Json

/** JSON format of records, HTTP bodies and dumps. Unknown keys are ignored so that different releases can read each other's data. */
val recordJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
    }

/** CBOR format of messages between instances. Unknown keys are ignored so that different releases can communicate. */
@OptIn(ExperimentalSerializationApi::class)
val peerCbor: Cbor =
    Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
    }
