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
 * Finds a place in flight for an attempt.
 *
 * A version is drawn by the judge's shares. Of its servers, rendezvous hashing of the prompt prefix gives a few; two
 * of them are sampled and the less loaded is asked first (power of two choices, Mitzenmacher 2001). Then the others
 * are asked, and when all are full the request waits.
 */
internal class Placer(
    private val scope: CoroutineScope,
    private val directory: ServerDirectory,
    private val reservations: Reservations,
    private val judge: Judge,
    private val loads: LoadView,
    private val waitingRoom: WaitingRoom,
    private val drain: Drain,
    private val random: Random,
) {
    private val rings = ClassRings()

    /** Where a place is wanted. */
    class Wish(
        /** Servers where an attempt failed; they come into question again only when there are no others. */
        val avoid: Set<BackendServerId> = emptySet(),
        /** The server to ask first. */
        val prefer: BackendServerId? = null,
        /** The version that generated the answer so far. */
        val version: VersionName? = null,
        /** Whether part of the answer was given: such a request is not refused for a long queue. */
        val isResume: Boolean = false,
    )

    /** A place for an attempt; a problem when there is none in time. */
    suspend fun place(exchange: Exchange, wish: Wish = Wish()): Either<Problem, Placement> {
        val search = Search(exchange, wish)
        search.tryOnce()?.let { return it.right() }
        if (!wish.isResume) refusal(exchange)?.let { return it.left() }
        return waitingRoom.waitIn(exchange.request.requestClass, { it.isRight() }) { search.waitForPlace() }
    }

    /** A place that is free now, if any. */
    suspend fun tryPlace(exchange: Exchange, wish: Wish): Placement? = Search(exchange, wish).tryOnce()

    /** Why waiting is no use, if so. */
    private fun refusal(exchange: Exchange): Problem? {
        val requestClass = exchange.request.requestClass
        val waiting = waitingRoom.waiting(requestClass)
        val needed = waitingRoom.expectedWait(requestClass) + waitingRoom.floor(requestClass)
        return when {
            waiting >= exchange.limits.queueLimit -> Problem(ErrorKind.Overloaded, "$waiting requests wait already")

            needed > exchange.remaining ->
                Problem(ErrorKind.Overloaded, "$waiting requests wait already, which leaves too little time")

            else -> null
        }
    }

    private inner class Search(val exchange: Exchange, val wish: Wish) {
        private val request: ServeRequest = exchange.request
        private var version: VersionName? = wish.version

        /** Asks the owners of up to [MAX_ASKED] servers without waiting. */
        suspend fun tryOnce(): Placement? = candidates().firstNotNullOfOrNull { ask(it, Duration.ZERO) }

        suspend fun waitForPlace(): Either<Problem, Placement> {
            var sinceServer = Duration.ZERO
            while (true) {
                // Asked anew each time: the first answers of a class come while others wait.
                val floor = if (wish.isResume) Duration.ZERO else waitingRoom.floor(request.requestClass)
                val left = exchange.remaining - floor
                if (!wish.isResume && drain.mustHandOver(floor)) return shuttingDown().left()
                val candidates = candidates()
                val server = candidates.minByOrNull { loads.load(it.server.id) }
                if (left <= Duration.ZERO) return outOfTime(server != null).left()
                if (server == null && sinceServer >= SERVER_WAIT) return noBackend().left()
                val wait = minOf(WAIT_STEP, left)
                sinceServer = if (server == null) sinceServer + wait else Duration.ZERO
                val asked = request.deadline.elapsedNow()
                server?.let { ask(it, wait) }?.let { return it.right() }
                // An owner that denies at once, or no owner to ask, must not make this loop spin.
                val passed = request.deadline.elapsedNow() - asked
                if (passed < wait) delay((wait - passed).coerceAtMost(RETRY_PAUSE))
                candidates.filter { it !== server }.firstNotNullOfOrNull { ask(it, Duration.ZERO) }
                    ?.let { return it.right() }
            }
        }

        private suspend fun ask(listed: ListedServer, wait: Duration): Placement? {
            val server = listed.server
            val asking = scope.async {
                reservations.reserve(server, request.id, exchange.remaining, wait, exchange.limits.worth)
            }
            val grant = awaitGrant(asking).getOrElse {
                loads.told(server.id, it.inFlight, it.limit)
                return null
            }
            grant.load?.let { loads.told(server.id, it.inFlight, it.limit) }
            return Placement(listed, grant)
        }

        // When the request goes while its question is on the way, a place that is granted must not be lost.
        private suspend fun awaitGrant(asking: Deferred<Either<Denied, Grant>>): Either<Denied, Grant> = try {
            asking.await()
        } catch (e: CancellationException) {
            scope.launch { asking.await().onRight { it.release(AttemptOutcome.NOT_SENT) } }
            throw e
        }

        private fun candidates(): List<ListedServer> {
            val all = rings.of(request.requestClass, directory.candidates(request.requestClass))
            val open = { listed: ListedServer -> !loads.isAvoided(listed.server.id) }
            val untried = { listed: ListedServer -> listed.server.id !in wish.avoid && open(listed) }
            return ordered(all, untried).ifEmpty { ordered(all, open) }
        }

        private fun ordered(all: ClassServers, accept: (ListedServer) -> Boolean): List<ListedServer> {
            val version = draw(all, accept) ?: return emptyList()
            val near = all.ring.candidates(prefix(), MAX_ASKED) { it.entry.version == version && accept(it) }
            val preferred = all.byId[wish.prefer]?.takeIf(accept)
            val rest = near.filter { it !== preferred }
            val affine = rest.take(AFFINE)
            val sampled = affine.shuffled(random).take(2).sortedBy { loads.load(it.server.id) }
            return listOfNotNull(preferred) + sampled + (affine - sampled.toSet()) + rest.drop(AFFINE)
        }

        /**
         * The version drawn for this request. The draw is kept while that version has servers: with a new draw at each
         * try, a new version would get more than its share whenever the old one is full.
         */
        private fun draw(all: ClassServers, accept: (ListedServer) -> Boolean): VersionName? {
            val shares = judge.trafficShares(request.requestClass, route())
            val drawn = version?.takeIf { (shares[it] ?: 0.0) > 0.0 } ?: pick(shares) ?: return null
            version = drawn
            val hasServers = { name: VersionName -> all.byVersion[name].orEmpty().any(accept) }
            if (hasServers(drawn)) return drawn
            // A version with the larger share has more trust, so it may take over; never the other way round.
            return shares.keys.firstOrNull {
                it != drawn &&
                    shares.getValue(it) >= shares.getValue(drawn) &&
                    hasServers(it)
            }
        }

        private fun pick(shares: Map<VersionName, Double>): VersionName? {
            var point = random.nextDouble() * shares.values.sum()
            for ((name, share) in shares) {
                point -= share
                if (share > 0.0 && point < 0.0) return name
            }
            return shares.entries.lastOrNull { it.value > 0.0 }?.key
        }

        private fun route() = routeOf(request)

        // Plain services have no prefix cache, so their requests spread evenly.
        private fun prefix() = exchange.chat?.prefix ?: request.id.value

        private fun noBackend() =
            Problem(ErrorKind.NoBackend, "no backend server of class '${request.requestClass}' is in service")

        private fun outOfTime(hasServers: Boolean) =
            if (hasServers) Problem(ErrorKind.Overloaded, "no place within the deadline") else noBackend()
    }

    private companion object {
        /** Servers that a prompt prefix maps to: enough to spread a popular prefix, few enough to stay cached. */
        const val AFFINE = 4

        /** Owners asked in one round; each costs a round trip between entry instances. */
        const val MAX_ASKED = 8

        /** Time to wait at one owner before the others are asked again. */
        val WAIT_STEP = 500.milliseconds
        val RETRY_PAUSE = 100.milliseconds

        /** Time to wait for a server of the class to appear: the instance list lags by about this much. */
        val SERVER_WAIT = 2.seconds
    }
}

/** The path of the request without the query: the route in evidence. */
internal fun routeOf(request: ServeRequest): String = request.path.substringBefore('?')

internal fun shuttingDown() = Problem(ErrorKind.ShuttingDown, "the entry instance is shutting down")
