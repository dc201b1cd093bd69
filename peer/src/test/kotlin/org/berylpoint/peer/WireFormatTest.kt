@file:OptIn(ExperimentalSerializationApi::class)

package org.berylpoint.peer

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.elementNames
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket

private fun samples(family: String): Map<String, String> =
    checkNotNull(WireFormatTest::class.java.getResource("/formats/$family.txt")).readText().trim().lines()
        .associate { it.substringBefore(' ') to it.substringAfter(' ') }

private fun types(samples: Map<String, String>) = samples.keys.map { it.substringBefore('#') }.toSet()

private fun parts(samples: Map<String, String>) = samples.keys.filter { '#' in it }.map { it.substringAfter('#') }

private fun subtypes(type: KSerializer<*>): Set<String> = type.descriptor.getElementDescriptor(1).elementNames.toSet()

/**
 * Guards against a changed serialized name, after which an old and a new process can't read each other's messages.
 *
 * A line of the samples is the serial name of a type, with a constant or the message in it after a `#`, and the bytes
 * that were sent with no property at its default. What stands there stays; new types and properties are added.
 */
class WireFormatTest :
    FunSpec({
        val messages = samples("messages")
        val frames = samples("frames")

        messages.forEach { (key, bytes) ->
            test("message $key is read and written as before") {
                PeerCodec.encode(PeerCodec.decode(bytes.hexToByteArray())).toHexString() shouldBe bytes
            }
        }

        test("frames are read and written by a connection as before, each kind of message among them") {
            val server = autoClose(ServerSocket(0, 1, InetAddress.getLoopbackAddress()))
            val selector = autoClose(SelectorManager(Dispatchers.IO))
            val connection =
                autoClose(FrameConnection(aSocket(selector).tcp().connect("127.0.0.1", server.localPort)))
            val far = withContext(Dispatchers.IO) { autoClose(server.accept()) }
            val input = DataInputStream(far.getInputStream())
            val output = DataOutputStream(far.getOutputStream())
            frames.forEach { (key, bytes) ->
                output.writeInt(bytes.length / 2)
                output.write(bytes.hexToByteArray())
                connection.write(connection.read())
                withClue(key) { input.readNBytes(input.readInt()).toHexString() shouldBe bytes }
            }
        }

        samples("report").forEach { (key, bytes) ->
            test("node $key is read and written as before") {
                NodeReportCodec.encode(NodeReportCodec.decode(bytes.hexToByteArray())).toHexString() shouldBe bytes
            }
        }

        test("every frame, message and constant has a sample") {
            val constants = listOf(DenyReason.serializer(), AttemptOutcome.serializer())
            types(messages) shouldBe subtypes(PeerMessage.serializer())
            parts(messages) shouldBe constants.flatMap { it.descriptor.elementNames }
            types(frames) shouldBe subtypes(PeerFrame.serializer())
            parts(frames).toSet() shouldBe subtypes(PeerMessage.serializer())
        }

        test("texts of errors, messages and constants in answers and logs") {
            val errors = listOf(PeerError.Refused, PeerError.TimedOut, PeerError.Broken, PeerError.Rejected("r"))
            errors.map { "$it" } shouldBe listOf("Refused", "TimedOut", "Broken", "Rejected(reason=r)")
            errors.size shouldBe PeerError::class.java.permittedSubclasses.size
            PeerMessage::class.java.permittedSubclasses.map { it.simpleName }.toSet() shouldBe
                types(messages).map { it.substringAfterLast('.') }.toSet()
            (DenyReason.entries + AttemptOutcome.entries).map { it.name } shouldBe parts(messages)
        }
    })
