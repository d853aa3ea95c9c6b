/*
 * API keys of callers. A key has the form `sk-<id>-<secret>`; its record has the id as name and stores only a salted hash of the secret.
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

/** 192 random bits, which cannot be guessed at any request rate that an instance admits. */
private const val SECRET_BYTES = 24

private val hex = HexFormat.of()
private val random = SecureRandom()
private val keyPattern = Regex("\\bsk-([A-Za-z0-9._-]*)-[A-Za-z0-9]{8,}")

/** Dummy record checked for unknown ids, so that they take as long to reject as wrong secrets. */
private val dummyRecord = keyRecord("decoy", ByteArray(SALT_BYTES), "decoy")

/** Holds a newly created key; [text] is shown once and never stored. */
class NewKey(
    val id: String,
    val text: String,
    val record: KeyRecord,
) {
    /** Omits the secret. */
    override fun toString(): String = "NewKey(id=$id)"
}

/** Identifies the valid key that a caller has presented. */
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
 * Verifies [presented] and returns its key, or `null` if it is malformed, unknown, wrong or withdrawn. Hashes are compared in constant
 * time, and an unknown id takes the same work as a wrong secret, so that timing does not reveal which ids exist.
 */
fun checkKeyOrNull(
    presented: String,
    keys: Map<String, KeyRecord>,
): CheckedKey? {
    val id = keyIdOrNull(presented) ?: return null
    val record = keys[id]
    val matches = matches(presented.substringAfterLast('-'), record ?: dummyRecord)
    return if (matches && record != null && !record.withdrawn) CheckedKey(id, record) else null
}

/** Returns the id part of a key, or `null` if it is malformed. Ids are not secret and may be logged. */
fun keyIdOrNull(presented: String): String? = presented
    .takeIf { it.startsWith(PREFIX) && it.lastIndexOf('-') > PREFIX.length }
    ?.let { it.substring(PREFIX.length, it.lastIndexOf('-')) }

/** Replaces the secret of every match of the key format in [text]. */
fun redactKeys(text: String): String = if (PREFIX in text) keyPattern.replace(text, "sk-$1-***") else text

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
