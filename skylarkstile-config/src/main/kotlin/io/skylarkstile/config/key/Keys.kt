/*
 * Callers' keys. A key reads `sk-<id>-<secret>`; the record is named by the id and holds a salted hash of the secret only.
 */
package io.skylarkstile.config.key

import io.skylarkstile.schema.generated.KeyRecord
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val PREFIX = "sk-"
private const val ALGORITHM = "HmacSHA256"
private const val SALT_BYTES = 16

/** 192 random bits, far beyond guessing at any rate that the front allows. */
private const val SECRET_BYTES = 24

private val hex = HexFormat.of()
private val random = SecureRandom()
private val keyLike = Regex("\\bsk-([A-Za-z0-9._-]*)-[A-Za-z0-9]{8,}")

/** Stands in for the record of an unknown id, so that unknown ids take as long to refuse as wrong secrets. */
private val decoy = keyRecord("decoy", ByteArray(SALT_BYTES), "decoy")

/** Holds a key right after its creation; [text] is shown once and never kept. */
class NewKey(
    val id: String,
    val text: String,
    val record: KeyRecord,
) {
    /** Leaves the secret out. */
    override fun toString(): String = "NewKey(id=$id)"
}

/** Says which key a caller has presented. */
data class CheckedKey(
    val id: String,
    val record: KeyRecord,
)

/** Creates a key called [id] for [workspace]. */
fun createKey(
    id: String,
    workspace: String,
): NewKey {
    val salt = ByteArray(SALT_BYTES).also(random::nextBytes)
    val secret = hex.formatHex(ByteArray(SECRET_BYTES).also(random::nextBytes))
    return NewKey(id, "$PREFIX$id-$secret", keyRecord(workspace, salt, secret))
}

/**
 * Returns the key that [presented] is, or `null` when it is malformed, unknown, wrong or withdrawn. Hashes are compared in constant
 * time, and a key with an unknown id costs the same work as one with a wrong secret.
 */
fun checkKeyOrNull(
    presented: String,
    keys: Map<String, KeyRecord>,
): CheckedKey? {
    val id = keyIdOrNull(presented) ?: return null
    val record = keys[id]
    val matches = matches(presented.substringAfterLast('-'), record ?: decoy)
    return if (matches && record != null && !record.withdrawn) CheckedKey(id, record) else null
}

/** Returns the id part of a key; ids may be written to logs. */
fun keyIdOrNull(presented: String): String? = presented
    .takeIf { it.startsWith(PREFIX) && it.lastIndexOf('-') > PREFIX.length }
    ?.let { it.substring(PREFIX.length, it.lastIndexOf('-')) }

/** Replaces the secret of everything in [text] that looks like a key. */
fun redactKeys(text: String): String = if (PREFIX in text) keyLike.replace(text, "sk-$1-***") else text

private fun matches(
    secret: String,
    record: KeyRecord,
): Boolean = MessageDigest.isEqual(hash(hex.parseHex(record.salt), secret), hex.parseHex(record.hash))

private fun keyRecord(
    workspace: String,
    salt: ByteArray,
    secret: String,
) = KeyRecord(schemaVersion = 1, workspace = workspace, salt = hex.formatHex(salt), hash = hex.formatHex(hash(salt, secret)))

private fun hash(
    salt: ByteArray,
    secret: String,
): ByteArray = Mac.getInstance(ALGORITHM).run {
    init(SecretKeySpec(salt, ALGORITHM))
    doFinal(secret.toByteArray())
}
