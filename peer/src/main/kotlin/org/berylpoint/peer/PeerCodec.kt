package org.berylpoint.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Messages between entry instances as CBOR. Unknown fields are skipped, so that two versions can talk. */
@OptIn(ExperimentalSerializationApi::class)
public object PeerCodec {
    private val cbor = Cbor {
        ignoreUnknownKeys = true
        encodeDefaults = false
    }

    /** The bytes of [message]. */
    public fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(PeerMessage.serializer(), message)

    /** The message in [bytes]; throws [kotlinx.serialization.SerializationException] if they are malformed. */
    public fun decode(bytes: ByteArray): PeerMessage = cbor.decodeFromByteArray(PeerMessage.serializer(), bytes)
}
