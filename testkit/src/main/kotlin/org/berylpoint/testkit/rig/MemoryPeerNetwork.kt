package org.berylpoint.testkit.rig

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.peer.PeerCodec
import org.berylpoint.peer.PeerError
import org.berylpoint.peer.PeerHandler
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerNetwork
import kotlin.time.Duration

/** One machine's side of the in-memory links. Messages pass through the codec, so that their bytes are counted. */
public class MemoryPeerNetwork internal constructor(private val machine: Machine, private val links: Links) :
    PeerNetwork {
    private var handler: PeerHandler? = null

    /** Messages and encoded bytes that this machine has sent, answers included. */
    public var messagesSent: Long = 0
        private set

    /** Encoded bytes that this machine has sent, answers included. */
    public var bytesSent: Long = 0
        private set

    override fun serve(handler: PeerHandler) {
        this.handler = handler
    }

    override suspend fun call(
        address: String,
        message: PeerMessage,
        timeout: Duration,
    ): Either<PeerError, PeerMessage> {
        val sent = encode(message)
        return withTimeoutOrNull(timeout) { exchange(address, sent) } ?: PeerError.TimedOut.left()
    }

    private suspend fun exchange(address: String, sent: ByteArray): Either<PeerError, PeerMessage> {
        val target = links.at(address) ?: return PeerError.Refused.left()
        delay(links.delay(machine, target))
        if (!links.isOpen(machine, target)) awaitCancellation()
        if (!target.isAlive) return PeerError.Refused.left()
        val answer = target.network.receive(machine, sent)
        answer.join()
        if (!target.isAlive) return PeerError.Broken.left()
        delay(links.delay(target, machine))
        if (!links.isOpen(target, machine)) awaitCancellation()
        return answer.await()
    }

    private fun receive(from: Machine, sent: ByteArray): Deferred<Either<PeerError, PeerMessage>> =
        machine.scope.async {
            val serving = handler ?: return@async PeerError.Rejected("not ready").left()
            val answer = serving.handle(from.instance.id, PeerCodec.decode(sent))
            PeerCodec.decode(encode(answer)).right()
        }

    private fun encode(message: PeerMessage): ByteArray = PeerCodec.encode(message).also {
        messagesSent++
        bytesSent += it.size
    }
}
