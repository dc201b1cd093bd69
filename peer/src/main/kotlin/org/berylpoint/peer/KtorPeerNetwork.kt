package org.berylpoint.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.berylpoint.model.InstanceId
import java.io.IOException
import java.net.ConnectException
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private val log = KotlinLogging.logger {}

/**
 * [PeerNetwork] over TCP: one connection per called peer, framed CBOR, both ends proving a shared key.
 *
 * Connections are pinged; one that is silent for [SILENCE_LIMIT] is closed, its open calls fail as
 * [PeerError.Broken], and the next call dials anew. This finds connections that something between the two ends has
 * lost track of, while new ones work.
 */
public class KtorPeerNetwork(
    private val self: InstanceId,
    private val listenAddress: String,
    private val keys: SharedKeys,
    private val scope: CoroutineScope,
    private val time: TimeSource.WithComparableMarks,
) : PeerNetwork {
    private val selector = SelectorManager(scope.coroutineContext)
    private val connections = ConcurrentHashMap<String, Outbound>()
    private val dialing = ConcurrentHashMap<String, Mutex>()
    private val random = SecureRandom()
    private var server: ServerSocket? = null

    @Volatile
    private var handler: PeerHandler? = null

    /** Starts to accept connections; the address listened on, with the real port if the given one was 0. */
    public suspend fun listen(): String {
        val (host, port) = hostAndPort(listenAddress)
        val bound = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        server = bound
        scope.launch { acceptAll(bound) }
        return "$host:${(bound.localAddress as InetSocketAddress).port}"
    }

    override fun serve(handler: PeerHandler) {
        this.handler = handler
    }

    override suspend fun call(
        address: String,
        message: PeerMessage,
        timeout: Duration,
    ): Either<PeerError, PeerMessage> = withTimeoutOrNull(timeout) {
        when (val connection = connect(address)) {
            is Either.Left -> connection
            is Either.Right -> connection.value.call(message)
        }
    } ?: PeerError.TimedOut.left()

    /** Stops listening and closes all connections. */
    public fun close() {
        server?.close()
        connections.values.forEach { it.close() }
        selector.close()
    }

    private suspend fun connect(address: String): Either<PeerError, Outbound> {
        connections[address]?.let { if (it.isOpen) return it.right() }
        return dialing.computeIfAbsent(address) { Mutex() }.withLock {
            connections[address]?.takeIf { it.isOpen }?.right() ?: dial(address).onRight { connections[address] = it }
        }
    }

    private suspend fun dial(address: String): Either<PeerError, Outbound> = try {
        withTimeoutOrNull(DIAL_TIMEOUT) {
            val (host, port) = hostAndPort(address)
            val connection = FrameConnection(aSocket(selector).tcp().connect(host, port) { noDelay = true })
            greet(connection).map { Outbound(connection).also { it.start() } }
        } ?: PeerError.TimedOut.left()
    } catch (e: ConnectException) {
        log.debug { "peer: $address refuses: ${e.message}" }
        if (e.message.orEmpty().contains("refused", ignoreCase = true)) {
            PeerError.Refused.left()
        } else {
            PeerError.TimedOut.left()
        }
    } catch (e: CancellationException) {
        throw e
    } catch (e: Exception) {
        log.debug { "peer: dialling $address failed: ${e.message}" }
        PeerError.Broken.left()
    }

    private suspend fun greet(connection: FrameConnection): Either<PeerError, Unit> {
        val challenge = connection.read() as? PeerFrame.Challenge ?: return PeerError.Rejected("no challenge").left()
        val nonce = nonce()
        connection.write(PeerFrame.Hello(self, keys.proof(challenge.nonce), nonce))
        val welcome = connection.read() as? PeerFrame.Welcome
        return if (welcome != null && keys.accepts(nonce, welcome.proof)) {
            Unit.right()
        } else {
            connection.close()
            PeerError.Rejected("the shared keys do not match").left()
        }
    }

    private suspend fun acceptAll(bound: ServerSocket) {
        try {
            while (true) {
                val socket = bound.accept()
                scope.launch { accept(socket) }
            }
        } catch (e: IOException) {
            log.info { "peer: stopped listening on $listenAddress: ${e.message}" }
        }
    }

    private suspend fun accept(socket: Socket) {
        val connection = FrameConnection(socket)
        try {
            val from = withTimeout(DIAL_TIMEOUT) { admit(connection) } ?: return
            while (true) {
                when (val frame = withTimeout(SILENCE_LIMIT) { connection.read() }) {
                    is PeerFrame.Call -> scope.launch { answer(connection, from, frame) }
                    PeerFrame.Ping -> connection.write(PeerFrame.Pong)
                    else -> return
                }
            }
        } catch (e: CancellationException) {
            if (!scope.isActive) throw e
        } catch (e: Exception) {
            log.debug { "peer: connection from ${socket.remoteAddress} ended: ${e.message}" }
        } finally {
            connection.close()
        }
    }

    private suspend fun admit(connection: FrameConnection): InstanceId? {
        val nonce = nonce()
        connection.write(PeerFrame.Challenge(nonce))
        val hello = connection.read() as? PeerFrame.Hello ?: return null
        if (!keys.accepts(nonce, hello.proof)) {
            log.warn { "peer: refused ${hello.from}: the shared keys do not match" }
            return null
        }
        connection.write(PeerFrame.Welcome(keys.proof(hello.nonce)))
        return hello.from
    }

    private suspend fun answer(connection: FrameConnection, from: InstanceId, call: PeerFrame.Call) {
        val frame = try {
            val serving = handler
            if (serving == null) {
                PeerFrame.Failed(call.id, "not ready")
            } else {
                PeerFrame.Answer(call.id, serving.handle(from, call.message))
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.error(e) { "peer: a call from $from failed" }
            PeerFrame.Failed(call.id, "internal error")
        }
        runCatching { connection.write(frame) }
    }

    private fun nonce() = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }.joinToString("") { "%02x".format(it) }

    /** The calling side of one connection. */
    private inner class Outbound(private val connection: FrameConnection) {
        private val waiting = ConcurrentHashMap<Long, CompletableDeferred<Either<PeerError, PeerMessage>>>()
        private val ids = AtomicLong()

        @Volatile
        private var heardAt: ComparableTimeMark = time.markNow()

        @Volatile
        var isOpen: Boolean = true
            private set

        fun start() {
            scope.launch { readAnswers() }
            scope.launch { keepAlive() }
        }

        suspend fun call(message: PeerMessage): Either<PeerError, PeerMessage> {
            val id = ids.incrementAndGet()
            val answer = CompletableDeferred<Either<PeerError, PeerMessage>>()
            waiting[id] = answer
            try {
                if (!isOpen || runCatching { connection.write(PeerFrame.Call(id, message)) }.isFailure) {
                    close()
                    return PeerError.Broken.left()
                }
                return answer.await()
            } finally {
                waiting.remove(id)
            }
        }

        fun close() {
            isOpen = false
            connection.close()
            waiting.values.forEach { it.complete(PeerError.Broken.left()) }
        }

        private suspend fun readAnswers() {
            try {
                while (true) {
                    val frame = connection.read()
                    heardAt = time.markNow()
                    when (frame) {
                        is PeerFrame.Answer -> waiting[frame.id]?.complete(frame.message.right())
                        is PeerFrame.Failed -> waiting[frame.id]?.complete(PeerError.Rejected(frame.reason).left())
                        else -> Unit
                    }
                }
            } catch (e: CancellationException) {
                if (!scope.isActive) throw e
            } catch (e: Exception) {
                log.debug { "peer: connection ended: ${e.message}" }
            } finally {
                close()
            }
        }

        private suspend fun keepAlive() {
            while (isOpen) {
                delay(PING_INTERVAL)
                if (heardAt.elapsedNow() > SILENCE_LIMIT) {
                    log.info { "peer: a connection is silent for $SILENCE_LIMIT, closing it" }
                    close()
                } else if (runCatching { connection.write(PeerFrame.Ping) }.isFailure) {
                    close()
                }
            }
        }
    }

    public companion object {
        /** Time between pings on an open connection. */
        public val PING_INTERVAL: Duration = 500.milliseconds

        /** A connection without any frame for this long is given up. */
        public val SILENCE_LIMIT: Duration = 2.seconds

        private val DIAL_TIMEOUT = 2.seconds
        private const val NONCE_BYTES = 16

        private fun hostAndPort(address: String): Pair<String, Int> =
            address.substringBeforeLast(':') to address.substringAfterLast(':').toInt()
    }
}
