package org.berylpoint.peer

import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * The keys that entry instances share: [current] signs, [previous] is still accepted while keys are rotated.
 *
 * To rotate without a stop, first give every instance the new key as [previous], then as [current] with the old one
 * as [previous], then drop the old one.
 */
public class SharedKeys(private val current: String, private val previous: String? = null) {
    internal fun proof(nonce: String): String = hmac(current, nonce)

    internal fun accepts(nonce: String, proof: String): Boolean =
        listOfNotNull(current, previous).any { equal(hmac(it, nonce), proof) }

    private fun hmac(key: String, nonce: String): String {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(key.encodeToByteArray(), ALGORITHM))
        return mac.doFinal(nonce.encodeToByteArray()).joinToString("") { "%02x".format(it) }
    }

    // Compares in constant time, so that the answer's delay tells nothing about the proof.
    private fun equal(a: String, b: String) = MessageDigest.isEqual(a.encodeToByteArray(), b.encodeToByteArray())

    private companion object {
        const val ALGORITHM = "HmacSHA256"
    }
}
