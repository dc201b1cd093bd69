package org.berylpoint.testkit.standin

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.model.BackendServer
import org.berylpoint.model.VersionName
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** What a stand-in server carries: [cold] calls when fresh, growing in a line to [warm] within [warmupMillis]. */
public data class Carrying(val cold: Int, val warm: Int, val warmupMillis: Long)

/**
 * The part of a stand-in server that does not depend on what it serves: process life, faults, load and journal.
 *
 * Not safe for use by several threads; [scope] is expected to run one coroutine at a time.
 */
public abstract class FakeServer(
    public val server: BackendServer,
    public val version: VersionName,
    protected val journal: Journal,
    private val scope: CoroutineScope,
    protected val random: Random,
    private val carrying: Carrying,
    private val overload: OverloadBehaviour = OverloadBehaviour.SLOW,
    startsWarm: Boolean = true,
) {
    private class ActiveFault(val fault: ServerFault, val sinceMillis: Long)

    private val faults = mutableListOf<ActiveFault>()
    private val running = LinkedHashMap<ServerConnection, ServedCall>()
    private val frozen = MutableStateFlow(false)
    private var silenceNextAfter: Int? = null

    /** Called when the process ends. */
    internal var onStop: () -> Unit = {}

    private var warmSinceMillis: Long = if (startsWarm) journal.now() - carrying.warmupMillis else journal.now()

    /** Whether a process listens at the address. */
    public var isUp: Boolean = true
        private set

    /** Calls in the server, waiting ones included. */
    public val inFlight: Int get() = running.size

    /** Calls that the server carries now. */
    public val limit: Int
        get() = (carrying.cold + (carrying.warm - carrying.cold) * warmth).roundToInt()

    /** 0 for a cold server, 1 for a warm one. */
    protected val warmth: Double
        get() = ((journal.now() - warmSinceMillis).toDouble() / carrying.warmupMillis).coerceIn(0.0, 1.0)

    /** Switches [fault] on. */
    public fun switchOn(fault: ServerFault) {
        faults += ActiveFault(fault, journal.now())
    }

    /** Switches [fault] off, or all faults. */
    public fun switchOff(fault: ServerFault? = null) {
        if (fault == null) faults.clear() else faults.removeAll { it.fault == fault }
    }

    /** Ends the process: connections break, the port refuses. */
    public fun kill() {
        stop(null)
    }

    /** Starts the process again, cold and without faults of a frozen process; lasting faults stay. */
    public fun restart() {
        kill()
        isUp = true
        frozen.value = false
        warmSinceMillis = journal.now()
        onRestart()
        journal.add(SceneEvent.ServerStarted(journal.now(), server.id.value))
    }

    /** Stops all work without closing any connection; the port still accepts. */
    public fun freeze() {
        frozen.value = true
    }

    public fun thaw() {
        frozen.value = false
    }

    /** A warm server becomes cold without telling anybody. */
    public fun becomeCold() {
        warmSinceMillis = journal.now()
        onRestart()
        journal.add(SceneEvent.ServerBecameCold(journal.now(), server.id.value))
    }

    /** All connections open now deliver nothing any more, for good; new ones work. */
    public fun silenceOpenConnections() {
        running.keys.forEach { it.silent = true }
    }

    /** The connection of the next call delivers nothing after [parts] parts; later ones work. */
    public fun silenceNextConnection(parts: Int = 0) {
        silenceNextAfter = parts
    }

    /** Whether the process would answer a health check now; waits while it is frozen. */
    public suspend fun health(): Boolean {
        awaitThawed()
        return true
    }

    /** Takes a call from a new connection; the caller must have seen that the server [isUp]. */
    internal fun connect(call: BackendCall): ServerConnection {
        val connection = ServerConnection()
        connection.silentAfter = silenceNextAfter
        silenceNextAfter = null
        val served = ServedCall(server.id.value, callTag(call.body), call.request.value, call.attempt)
        running[connection] = served
        val job = scope.launch {
            try {
                awaitThawed()
                accept(call, served, connection)
            } catch (e: CancellationException) {
                if (connection in running) journal.add(ServerEvent.Cancelled(journal.now(), served))
                throw e
            }
        }
        connection.job = job
        // Not a finally block: a call that is cancelled before its first step never enters one.
        job.invokeOnCompletion {
            running.remove(connection)
            connection.close()
        }
        return connection
    }

    private suspend fun accept(call: BackendCall, served: ServedCall, connection: ServerConnection) {
        journal.add(
            ServerEvent.Accepted(
                journal.now(),
                served,
                version.value,
                server.failureDomain.name,
                routeOf(call),
                call.idempotencyKey,
                inFlight,
                limit,
            ),
        )
        val now = { journal.now() }
        if (inFlight > limit && overload == OverloadBehaviour.REFUSE) {
            journal.add(ServerEvent.Refused(now(), served, 503))
            answer(connection, 503, """{"error":"overloaded"}""")
            return
        }
        if (inFlight > limit && overload == OverloadBehaviour.CRASH) stop(connection)
        if (active<ServerFault.CrashOnBody>().any { it.marker in call.body }) {
            delay(CRASH_DELAY)
            stop(connection)
        }
        val failure = active<ServerFault.Fail>().firstOrNull { applies(it, it.scope, call) }
        if (failure != null) {
            journal.add(ServerEvent.Refused(now(), served, failure.status))
            answer(connection, failure.status, """{"error":"internal"}""")
            return
        }
        val breaksOff = active<ServerFault.BreakOff>().any { applies(it, it.scope, call) }
        run(call, served, connection, breaksOff)
    }

    /** Runs the call after faults that prevent it were ruled out. */
    protected abstract suspend fun run(
        call: BackendCall,
        served: ServedCall,
        connection: ServerConnection,
        breaksOff: Boolean,
    )

    /** Whether a run ends when its connection closes. */
    internal open val stopsOnDisconnect: Boolean get() = true

    /** Drops what a new process does not have. */
    protected open fun onRestart() {}

    /** Factor on all times of [call]. */
    protected fun slowness(call: BackendCall): Double {
        val faulty = active<ServerFault.Slow>().filter { applies(it, it.scope, call) }.maxOfOrNull { it.factor } ?: 1.0
        return if (inFlight > limit) faulty * OVERLOAD_FACTOR else faulty
    }

    /** Waits while the process is frozen. */
    protected suspend fun awaitThawed() {
        // `first` ends by an exception, which costs more than the rest of a token.
        if (frozen.value) frozen.first { !it }
    }

    /** Waits for [millis] of the process's own time, which stands still while it is frozen. */
    protected suspend fun work(millis: Double) {
        delay(millis.milliseconds)
        awaitThawed()
    }

    /** Delivers one part of a stream, late, twice or out of order when such a fault is on. */
    protected suspend fun deliver(connection: ServerConnection, event: BackendEvent) {
        awaitThawed()
        val late = active<ServerFault.Late>().maxOfOrNull { it.delayMillis } ?: 0
        if (late > 0) delay(late.milliseconds)
        val times = if (event is BackendEvent.Data && active<ServerFault.Duplicated>().isNotEmpty()) 2 else 1
        val swaps = event is BackendEvent.Data && active<ServerFault.OutOfOrder>().isNotEmpty()
        repeat(times) { connection.put(event, swaps) }
    }

    /** Delivers a whole answer. */
    protected suspend fun answer(connection: ServerConnection, status: Int, body: String) {
        deliver(connection, BackendEvent.Head(status, "application/json"))
        deliver(connection, BackendEvent.Data(body))
        deliver(connection, BackendEvent.End)
    }

    /** The path of [call] without its query. */
    protected fun routeOf(call: BackendCall): String = call.path.substringBefore('?')

    private inline fun <reified F : ServerFault> active(): List<F> = faults.map { it.fault }.filterIsInstance<F>()

    private fun applies(fault: ServerFault, scope: FaultScope, call: BackendCall): Boolean {
        val since = faults.first { it.fault === fault }.sinceMillis
        return journal.now() - since >= scope.afterMillis &&
            inFlight >= scope.minInFlight &&
            (scope.route == null || scope.route == routeOf(call)) &&
            (scope.probability >= 1.0 || random.nextDouble() < scope.probability)
    }

    private fun stop(cause: ServerConnection?) {
        if (!isUp) return
        isUp = false
        val broken = running.toMap()
        running.clear()
        for ((connection, served) in broken) {
            journal.add(ServerEvent.Crashed(journal.now(), served, connection === cause))
            connection.put(BackendEvent.Broken(sent = true, detail = "connection reset"))
            connection.close()
        }
        broken.keys.forEach { it.job?.cancel() }
        onStop()
        if (cause != null) throw CancellationException("the process ended")
    }

    private companion object {
        val CRASH_DELAY = 20.milliseconds

        // A server that is given more than it carries thrashes; the factor makes this plain to see in latencies.
        const val OVERLOAD_FACTOR = 8.0
    }
}

/** One call's connection as the server sees it. */
public class ServerConnection internal constructor() {
    private val parts = Channel<BackendEvent>(Channel.UNLIMITED)
    private var held: BackendEvent? = null
    private var count = 0
    internal var job: Job? = null
    internal var silent = false
    internal var silentAfter: Int? = null

    internal val incoming: ReceiveChannel<BackendEvent> get() = parts

    /** Puts [event] on the wire; with [swap], every second part overtakes the one before it. */
    internal fun put(event: BackendEvent, swap: Boolean = false) {
        if (silentAfter?.let { count >= it } == true) silent = true
        if (silent) return
        count++
        val earlier = held
        when {
            earlier != null -> {
                held = null
                parts.trySend(event.takeIf { it is BackendEvent.Data } ?: earlier)
                parts.trySend(if (event is BackendEvent.Data) earlier else event)
            }

            swap -> held = event

            else -> parts.trySend(event)
        }
    }

    /** The entry instance closed the connection; over a silent one the server never learns of it. */
    internal fun disconnect(server: FakeServer) {
        if (!silent && server.stopsOnDisconnect) job?.cancel()
    }

    internal fun close() {
        // A silent connection stays open from the caller's view: nothing tells that the other end is done.
        if (!silent) parts.close()
    }
}
