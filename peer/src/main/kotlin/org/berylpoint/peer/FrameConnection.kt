package org.berylpoint.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readFully
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.io.IOException

/** Reads and writes frames on a socket: four bytes of length, then CBOR. */
@OptIn(ExperimentalSerializationApi::class)
internal class FrameConnection(private val socket: Socket) : AutoCloseable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)
    private val writing = Mutex()

    suspend fun write(frame: PeerFrame) {
        val bytes = cbor.encodeToByteArray(PeerFrame.serializer(), frame)
        writing.withLock {
            output.writeInt(bytes.size)
            output.writeFully(bytes)
            output.flush()
        }
    }

    suspend fun read(): PeerFrame {
        val size = input.readInt()
        if (size !in 1..MAX_FRAME_BYTES) throw IOException("frame of $size bytes, expected 1 to $MAX_FRAME_BYTES")
        val bytes = ByteArray(size)
        input.readFully(bytes)
        return cbor.decodeFromByteArray(PeerFrame.serializer(), bytes)
    }

    override fun close() = socket.close()

    private companion object {
        /** Bounds the memory that a malformed length can ask for; a whole catalogue fits well within it. */
        const val MAX_FRAME_BYTES = 16 * 1024 * 1024

        val cbor = Cbor {
            ignoreUnknownKeys = true
            encodeDefaults = false
        }
    }
}
