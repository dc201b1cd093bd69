package org.berylpoint.peer

import kotlinx.serialization.Serializable
import org.berylpoint.model.InstanceId

/** What travels in one length-prefixed frame of a connection between entry instances. */
@Serializable
internal sealed interface PeerFrame {
    /** First frame of the side that accepts: a random challenge. */
    @Serializable
    data class Challenge(val nonce: String) : PeerFrame

    /** Proof of the shared key by the side that dials: HMAC-SHA-256 over the challenge, and its own challenge. */
    @Serializable
    data class Hello(val from: InstanceId, val proof: String, val nonce: String) : PeerFrame

    /** Proof of the shared key by the side that accepts. */
    @Serializable
    data class Welcome(val proof: String) : PeerFrame

    @Serializable
    data class Call(val id: Long, val message: PeerMessage) : PeerFrame

    @Serializable
    data class Answer(val id: Long, val message: PeerMessage) : PeerFrame

    @Serializable
    data class Failed(val id: Long, val reason: String) : PeerFrame

    /** Shows that the connection works; answered with [Pong]. */
    @Serializable
    data object Ping : PeerFrame

    @Serializable
    data object Pong : PeerFrame
}
