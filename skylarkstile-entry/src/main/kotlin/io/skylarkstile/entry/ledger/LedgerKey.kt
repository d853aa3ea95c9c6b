/*
 * Identity of a non-idempotent call: its key, its range and the hash that tells a repeat from another request with the same key.
 */
package io.skylarkstile.entry.ledger

import io.skylarkstile.schema.generated.LedgerCall
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/** Identifies a call within the ledger. */
internal class LedgerKey(
    val key: String,
    val bodyHash: String,
    private val digest: ByteArray,
) {
    /** Returns the range of the key among [ranges]. */
    fun range(ranges: Int): Int = Integer.remainderUnsigned(ByteBuffer.wrap(digest).getInt(), ranges)
}

internal fun LedgerCall.ledgerKey(): LedgerKey {
    val digest = hash(workspace.toByteArray(), route.toByteArray(), key.toByteArray())
    val content = hash(method.toByteArray(), path.toByteArray(), contentType.toByteArray(), body)
    return LedgerKey(hex(digest), hex(content), digest)
}

/** Hashes [parts] with their lengths, so that two different lists never give the same input. */
private fun hash(vararg parts: ByteArray): ByteArray {
    val sha = MessageDigest.getInstance("SHA-256")
    parts.forEach {
        sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(0, it.size))
        sha.update(it)
    }
    return sha.digest()
}

private fun hex(bytes: ByteArray): String = HexFormat.of().formatHex(bytes)
