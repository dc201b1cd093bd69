package org.berylpoint.entry.pipeline

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.berylpoint.entry.backend.ListedServer
import org.berylpoint.entry.backend.ServerDirectory
import org.berylpoint.entry.judgement.Judge
import org.berylpoint.entry.ownership.Grant
import org.berylpoint.entry.ownership.Reservations
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.Problem
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.VersionName
import org.berylpoint.peer.AttemptOutcome
import org.berylpoint.peer.PeerMessage.Denied
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Reserves a place (a slot in flight on a server) for an attempt.
 *
 * A version is drawn by the traffic shares of [Judge]. Rendezvous hashing of the prompt prefix selects a few of its
 * servers; two of them are sampled, and a reservation is tried at the less loaded one first (power of two choices,
 * Mitzenmacher 2001), then at the others. If all are full, the request waits.
 */
internal class Placer(
    private val scope: CoroutineScope,
    private val directory: ServerDirectory,
    private val reservations: Reservations,
    private val judge: Judge,
    private val loads: ServerLoads,
    private val waitQueues: WaitQueues,
    private val drain: Drain,
    private val random: Random,
) {
    private val serverCache = ClassServerCache()

    /** Criteria for the choice of a server. */
    class Criteria(
        /** Servers on which an attempt failed; used again only if there are no others. */
        val avoidedServers: Set<BackendServerId> = emptySet(),
        /** The server to try first. */
        val preferredServer: BackendServerId? = null,
        /** The version that generated the answer so far. */
        val version: VersionName? = null,
        /** Whether part of the answer was generated: such a request is not refused because of a long queue. */
        val isResume: Boolean = false,
    )

    /** Reserves a place, waiting for one if necessary; returns a problem if none is free in time. */
    suspend fun place(exchange: Exchange, criteria: Criteria = Criteria()): Either<Problem, Placement> {
        val search = Search(exchange, criteria)
        search.tryOnce()?.let { return it.right() }
        if (!criteria.isResume) refusalOf(exchange)?.let { return it.left() }
        return waitQueues.trackWaiting(exchange.request.requestClass, { it.isRight() }) { search.waitForPlace() }
    }

    /** Reserves a place without waiting; returns null if none is free. */
    suspend fun tryPlace(exchange: Exchange, criteria: Criteria): Placement? = Search(exchange, criteria).tryOnce()

    /** Returns the reason to refuse a request instead of letting it wait, or null if it may wait. */
    private fun refusalOf(exchange: Exchange): Problem? {
        val requestClass = exchange.request.requestClass
        val waiting = waitQueues.queueLength(requestClass)
        val needed = waitQueues.expectedWait(requestClass) + waitQueues.minRunTime(requestClass)
        return when {
            waiting >= exchange.limits.queueLimit ->
                Problem(ErrorKind.Overloaded, "$waiting requests are already waiting")

            needed > exchange.remaining ->
                Problem(ErrorKind.Overloaded, "$waiting requests are already waiting, too many for the time left")

            else -> null
        }
    }

    private inner class Search(val exchange: Exchange, val criteria: Criteria) {
        private val request: ServeRequest = exchange.request
        private var version: VersionName? = criteria.version

        /** Tries to reserve at up to [MAX_CANDIDATES] servers without waiting. */
        suspend fun tryOnce(): Placement? = candidates().firstNotNullOfOrNull { reserve(it, Duration.ZERO) }

        suspend fun waitForPlace(): Either<Problem, Placement> {
            var timeWithoutServer = Duration.ZERO
            while (true) {
                // Read in each round, because the first run times of a class may be recorded while requests wait.
                val minRunTime = if (criteria.isResume) Duration.ZERO else waitQueues.minRunTime(request.requestClass)
                val left = exchange.remaining - minRunTime
                if (!criteria.isResume && drain.mustRefuseWaiting(minRunTime)) return shuttingDown().left()
                val candidates = candidates()
                val server = candidates.minByOrNull { loads.load(it.server.id) }
                if (left <= Duration.ZERO) return outOfTime(server != null).left()
                if (server == null && timeWithoutServer >= MAX_TIME_WITHOUT_SERVER) return noBackend().left()
                val wait = minOf(RESERVE_WAIT, left)
                timeWithoutServer = if (server == null) timeWithoutServer + wait else Duration.ZERO
                val start = request.deadline.elapsedNow()
                server?.let { reserve(it, wait) }?.let { return it.right() }
                // The delay keeps the loop from spinning if an owner denies immediately or there is no server to try.
                val passed = request.deadline.elapsedNow() - start
                if (passed < wait) delay((wait - passed).coerceAtMost(RETRY_DELAY))
                candidates.filter { it !== server }.firstNotNullOfOrNull { reserve(it, Duration.ZERO) }
                    ?.let { return it.right() }
            }
        }

        private suspend fun reserve(listed: ListedServer, wait: Duration): Placement? {
            val server = listed.server
            val reservation = scope.async {
                reservations.reserve(server, request.id, exchange.remaining, wait, exchange.limits.worth)
            }
            val grant = awaitGrant(reservation).getOrElse {
                loads.recordLoad(server.id, it.inFlight, it.limit)
                return null
            }
            grant.load?.let { loads.recordLoad(server.id, it.inFlight, it.limit) }
            return Placement(listed, grant)
        }

        // If the request is cancelled during the reservation, a grant that still arrives must be released.
        private suspend fun awaitGrant(reservation: Deferred<Either<Denied, Grant>>): Either<Denied, Grant> = try {
            reservation.await()
        } catch (e: CancellationException) {
            scope.launch { reservation.await().onRight { it.release(AttemptOutcome.NOT_SENT) } }
            throw e
        }

        private fun candidates(): List<ListedServer> {
            val all = serverCache.of(request.requestClass, directory.candidates(request.requestClass))
            val isAvailable = { listed: ListedServer -> !loads.isInBackoff(listed.server.id) }
            val avoided = criteria.avoidedServers
            val isUntried = { listed: ListedServer -> listed.server.id !in avoided && isAvailable(listed) }
            return ordered(all, isUntried).ifEmpty { ordered(all, isAvailable) }
        }

        private fun ordered(all: ClassServers, accept: (ListedServer) -> Boolean): List<ListedServer> {
            val version = drawVersion(all, accept) ?: return emptyList()
            val candidates = all.ring.candidates(prefix(), MAX_CANDIDATES) { it.entry.version == version && accept(it) }
            val preferred = all.byId[criteria.preferredServer]?.takeIf(accept)
            val rest = candidates.filter { it !== preferred }
            val affine = rest.take(AFFINE_SERVERS)
            val sampled = affine.shuffled(random).take(2).sortedBy { loads.load(it.server.id) }
            return listOfNotNull(preferred) + sampled + (affine - sampled.toSet()) + rest.drop(AFFINE_SERVERS)
        }

        /**
         * Returns the version drawn for this request, or null if there is none with servers. The draw is kept as long
         * as the version has a share: a new draw in each round would give a new version more than its share whenever
         * the old version is full.
         */
        private fun drawVersion(all: ClassServers, accept: (ListedServer) -> Boolean): VersionName? {
            val shares = judge.trafficShares(request.requestClass, route())
            val drawn = version?.takeIf { (shares[it] ?: 0.0) > 0.0 } ?: pickByShare(shares) ?: return null
            version = drawn
            val hasServers = { name: VersionName -> all.byVersion[name].orEmpty().any(accept) }
            if (hasServers(drawn)) return drawn
            // Only a version with at least the same share, so with no less trust, may replace the drawn version.
            return shares.keys.firstOrNull {
                it != drawn &&
                    shares.getValue(it) >= shares.getValue(drawn) &&
                    hasServers(it)
            }
        }

        private fun pickByShare(shares: Map<VersionName, Double>): VersionName? {
            var point = random.nextDouble() * shares.values.sum()
            for ((name, share) in shares) {
                point -= share
                if (share > 0.0 && point < 0.0) return name
            }
            return shares.entries.lastOrNull { it.value > 0.0 }?.key
        }

        private fun route() = routeOf(request)

        // Plain services have no prefix cache; hashing the request id distributes their requests evenly.
        private fun prefix() = exchange.chat?.prefix ?: request.id.value

        private fun noBackend() =
            Problem(ErrorKind.NoBackend, "no backend server of class '${request.requestClass}' is in service")

        private fun outOfTime(hasServers: Boolean) =
            if (hasServers) Problem(ErrorKind.Overloaded, "no place became free within the deadline") else noBackend()
    }

    private companion object {
        /** Servers that a prompt prefix maps to: enough to spread a popular prefix, few enough to keep it cached. */
        const val AFFINE_SERVERS = 4

        /** Servers tried in one round; each costs a round trip between entry instances to the server's owner. */
        const val MAX_CANDIDATES = 8

        /** Time to wait in the queue of one server before the others are tried again. */
        val RESERVE_WAIT = 500.milliseconds
        val RETRY_DELAY = 100.milliseconds

        /** Time to wait for a server of the class to be listed: the instance list lags by about this much. */
        val MAX_TIME_WITHOUT_SERVER = 2.seconds
    }
}

/** Returns the path of the request without the query; evidence is recorded per such route. */
internal fun routeOf(request: ServeRequest): String = request.path.substringBefore('?')

internal fun shuttingDown() = Problem(ErrorKind.ShuttingDown, "the entry instance is shutting down")
