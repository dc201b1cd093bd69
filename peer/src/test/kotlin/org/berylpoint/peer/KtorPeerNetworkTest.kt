package org.berylpoint.peer

import arrow.core.left
import arrow.core.right
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.berylpoint.model.InstanceId
import java.net.ConnectException
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class KtorPeerNetworkTest :
    FunSpec({
        lateinit var scope: CoroutineScope

        beforeTest { scope = CoroutineScope(SupervisorJob() + Dispatchers.IO) }
        afterTest { scope.cancel() }

        fun network(id: String, keys: SharedKeys = SharedKeys("k1")) =
            KtorPeerNetwork(InstanceId(id), "127.0.0.1:0", keys, scope, TimeSource.Monotonic)

        fun echo(network: KtorPeerNetwork) = network.serve { from, message ->
            if (message == PeerMessage.FetchCatalogue(2)) error("boom") else PeerMessage.Refusal("$from")
        }

        test("`call` over loopback carries the caller's id and gets the answer; a failing handler gives Rejected") {
            runBlocking {
                val b = network("b").also { echo(it) }
                val address = b.listen()
                val a = network("a")
                a.call(address, PeerMessage.Ack, 5.seconds) shouldBe PeerMessage.Refusal("a").right()
                a.call(address, PeerMessage.FetchCatalogue(2), 5.seconds) shouldBe
                    PeerError.Rejected("internal error").left()
                a.call(address, PeerMessage.Ack, 5.seconds) shouldBe PeerMessage.Refusal("a").right()
            }
        }

        test("a port without a listener gives Refused, which confirms that the process is gone") {
            runBlocking {
                val b = network("b")
                val address = b.listen()
                b.close()
                // The selector closes the listening socket only at its next turn, so the port is open for a while.
                eventually(5.seconds) { shouldThrow<ConnectException> { connectTo(address) } }
                network("a").call(address, PeerMessage.Ack, 5.seconds) shouldBe PeerError.Refused.left()
            }
        }

        test("keys: another key is rejected, the previous one is accepted during a rotation") {
            runBlocking {
                val b = network("b", SharedKeys("k2", previous = "k1")).also { echo(it) }
                val address = b.listen()
                network("a", SharedKeys("other")).call(address, PeerMessage.Ack, 5.seconds)
                    .leftOrNull().shouldBeInstanceOf<PeerError>()
                network("c", SharedKeys("k1", previous = "k2")).call(address, PeerMessage.Ack, 5.seconds) shouldBe
                    PeerMessage.Refusal("c").right()
            }
        }

        test("a connection that goes silent for good is given up and redialled, while the peer stays reachable") {
            runBlocking {
                val b = network("b").also { echo(it) }
                SilentForwarder(b.listen().substringAfterLast(':').toInt()).use { forwarder ->
                    val a = network("a")
                    a.call(forwarder.address, PeerMessage.Ack, 5.seconds) shouldBe PeerMessage.Refusal("a").right()
                    forwarder.silence()
                    val answers =
                        generateSequence { runBlocking { a.call(forwarder.address, PeerMessage.Ack, 1.seconds) } }
                    answers.take(30).any { it == PeerMessage.Refusal("a").right() } shouldBe true
                }
            }
        }
    })

private fun connectTo(address: String) {
    Socket(address.substringBeforeLast(':'), address.substringAfterLast(':').toInt()).close()
}
