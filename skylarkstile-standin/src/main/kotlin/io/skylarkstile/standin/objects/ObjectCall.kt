/*
 * Parses requests to the object API.
 */
package io.skylarkstile.standin.objects

import io.skylarkstile.transport.http.HttpRequest
import java.net.URLDecoder

/** Represents an object API call; [type] is its name in the call counters. */
internal sealed interface ObjectCall {
    val type: String

    data class Get(
        val kind: String,
        val name: String,
    ) : ObjectCall {
        override val type = "get"
    }

    /** Represents a put, or a delete if [value] is `null`. */
    class Write(
        val kind: String,
        val name: String,
        val value: ByteArray?,
        val ifVersion: Long?,
    ) : ObjectCall {
        override val type = if (value == null) "delete" else "put"
    }

    data class ListAll(
        val kinds: List<String>,
    ) : ObjectCall {
        override val type = "list"
    }

    data class Watch(
        val kinds: List<String>,
        val after: Long,
        val waitMs: Long,
    ) : ObjectCall {
        override val type = "watch"
    }

    data object Instances : ObjectCall {
        override val type = "instances"
    }
}

/** Parses [request]; returns `null` if it is malformed or not a call of the object API. */
internal fun objectCallOrNull(request: HttpRequest): ObjectCall? {
    val path =
        request.rawUri
            .substringBefore('?')
            .split('/')
            .drop(1)
            .map { decoded(it) }
    val query = parametersOf(request.rawUri.substringAfter('?', ""))
    return when {
        path == listOf("v1", "objects") && request.method == "GET" -> kindsOrNull(query)?.let { ObjectCall.ListAll(it) }
        path == listOf("v1", "watch") && request.method == "GET" -> watchOrNull(query)
        path == listOf("v1", "instances") && request.method == "GET" -> ObjectCall.Instances
        path.size == 4 && path[0] == "v1" && path[1] == "objects" -> objectOrNull(request, path[2], path[3], query)
        else -> null
    }
}

private fun objectOrNull(
    request: HttpRequest,
    kind: String,
    name: String,
    query: List<Pair<String, String>>,
): ObjectCall? {
    val condition = query.valueOrNull("ifVersion")
    val ifVersion = condition?.toLongOrNull()
    return when {
        kind.isEmpty() || name.isEmpty() || (condition != null && ifVersion == null) -> null
        request.method == "GET" -> ObjectCall.Get(kind, name)
        request.method == "PUT" -> ObjectCall.Write(kind, name, request.body, ifVersion)
        request.method == "DELETE" -> ObjectCall.Write(kind, name, null, ifVersion)
        else -> null
    }
}

private fun watchOrNull(query: List<Pair<String, String>>): ObjectCall? {
    val kinds = kindsOrNull(query) ?: return null
    val after = query.valueOrNull("after")?.toLongOrNull() ?: return null
    val waitMs = (query.valueOrNull("waitMs") ?: "0").toLongOrNull() ?: return null
    return ObjectCall.Watch(kinds, after, waitMs.coerceIn(0, MAX_WAIT_MS))
}

private fun kindsOrNull(query: List<Pair<String, String>>): List<String>? =
    query.filter { it.first == "kind" }.map { it.second }.ifEmpty { null }

private fun List<Pair<String, String>>.valueOrNull(name: String): String? = firstOrNull { it.first == name }?.second

private fun parametersOf(query: String): List<Pair<String, String>> =
    query.split('&').filter { it.isNotEmpty() }.map { decoded(it.substringBefore('=')) to decoded(it.substringAfter('=', "")) }

private fun decoded(text: String): String = URLDecoder.decode(text, Charsets.UTF_8)

private const val MAX_WAIT_MS = 60_000L
