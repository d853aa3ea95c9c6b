/*
 * Derives the identity of a non-idempotent call: its key, its range and a hash that distinguishes a repeat from another request.
 */
package io.skylarkstile.entry.ledger

import io.skylarkstile.schema.generated.LedgerCall
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/** Identifies a call within the ledger. [bodyHash] covers the method, path, content type and body. */
internal class LedgerKey(
    val key: String,
    val bodyHash: String,
    private val digest: ByteArray,
) {
    /** Returns the index of the range of this key when there are [ranges] ranges. */
    fun range(ranges: Int): Int = Integer.remainderUnsigned(ByteBuffer.wrap(digest).getInt(), ranges)
}

internal fun LedgerCall.ledgerKey(): LedgerKey {
    val digest = hash(workspace.toByteArray(), route.toByteArray(), key.toByteArray())
    val content = hash(method.toByteArray(), path.toByteArray(), contentType.toByteArray(), body)
    return LedgerKey(hex(digest), hex(content), digest)
}

/** Hashes [parts] with their lengths, so that different lists never produce the same input to the hash. */
private fun hash(vararg parts: ByteArray): ByteArray {
    val sha = MessageDigest.getInstance("SHA-256")
    parts.forEach {
        sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(0, it.size))
        sha.update(it)
    }
    return sha.digest()
}

private fun hex(bytes: ByteArray): String = HexFormat.of().formatHex(bytes)
