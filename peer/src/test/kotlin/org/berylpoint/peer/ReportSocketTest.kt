package org.berylpoint.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class ReportSocketTest :
    FunSpec({
        test("a report reaches each address, and one that can't be reached does not stop the others") {
            val (first, second) = List(2) { freeAddress() }
            val received = LinkedBlockingQueue<String>()
            ReportSocket.open(first).use { a ->
                ReportSocket.open(second).use { b ->
                    listOf(a, b).forEach { it.receive { report -> received += report.name } }
                    a.send(report("r"), listOf("255.255.255.255:9", first, second))
                    List(2) { received.poll(5, TimeUnit.SECONDS) } shouldBe listOf("r", "r")
                }
            }
        }

        // Guards against an instance that hears no others any more after one bad datagram.
        test("a malformed datagram, or a failure of the handler, does not end the reception") {
            val address = freeAddress()
            val received = LinkedBlockingQueue<String>()
            ReportSocket.open(address).use { socket ->
                socket.receive { report ->
                    check(report.name != "bad") { "the handler fails" }
                    received += report.name
                }
                val port = address.substringAfter(':').toInt()
                DatagramSocket().use {
                    it.send(DatagramPacket(byteArrayOf(1, 2, 3), 3, InetAddress.getLoopbackAddress(), port))
                }
                socket.send(report("bad"), listOf(address))
                socket.send(report("good"), listOf(address))
                received.poll(5, TimeUnit.SECONDS) shouldBe "good"
            }
        }
    })

private fun report(name: String) = NodeReport(name, "a", startedAtMillis = 1, sequence = 1, wallMillis = 1)

private fun freeAddress(): String =
    DatagramSocket(0, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }
