package org.berylpoint.entry.judgement

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.member.HeartbeatPart
import org.berylpoint.entry.member.MembershipView
import org.berylpoint.entry.node.NodeContext
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueEntry
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.VersionMove
import org.berylpoint.model.VersionName
import org.berylpoint.peer.PeerMessage
import org.berylpoint.peer.PeerMessage.CrashNotice
import org.berylpoint.peer.PeerMessage.Heartbeat
import org.berylpoint.policy.judgement.ErrorRates
import org.berylpoint.policy.judgement.MoveStages
import org.berylpoint.policy.judgement.Outcomes
import org.berylpoint.policy.judgement.Stratum
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.ExperimentalTime

private val log = KotlinLogging.logger {}

/**
 * Judges versions by evidence pooled over the entry instances, and bounds the crashes of single requests.
 *
 * Every instance judges the pooled evidence by itself and follows its own finding at once, so that a partition delays
 * no rollback. The end of a move is recorded in the catalogue by an instance for which [mayAct] gives true, and the
 * catalogue then binds all.
 */
@OptIn(ExperimentalTime::class)
public class PooledJudge(
    private val context: NodeContext,
    private val members: StateFlow<MembershipView>,
    private val catalogue: CatalogueSource,
    private val mayAct: suspend () -> Boolean,
    private val rates: ErrorRates = ErrorRates(),
    private val stages: MoveStages = MoveStages(minStageMillis = 10_000),
) : Judge,
    HeartbeatPart {
    private val start = context.time.markNow()
    private val pool = EvidencePool(context.self.id, context.random)
    private val links = LinkHealth()
    private val cold = ColdServerFilter()
    private val crashes = CrashLimiter(context, members)
    private val trials = mutableMapOf<RequestClass, MoveTrial>()
    private var isSubmitting = false
    private var lastSubmit: ComparableTimeMark? = null

    /** Starts to look at the evidence at each [EVALUATION_INTERVAL]. */
    public fun start() {
        crashes.start()
        context.scope.launch {
            while (isActive) {
                catalogue.current.value?.let(::look)
                delay(EVALUATION_INTERVAL)
            }
        }
    }

    /** Answers a peer's notice of a crash or of an attempt. */
    public fun handle(notice: CrashNotice): PeerMessage = crashes.handle(notice)

    override fun trafficShares(requestClass: RequestClass, route: String): Map<VersionName, Double> {
        val now = catalogue.current.value ?: return emptyMap()
        val versions = now.entriesOf(requestClass).map { it.version }
        val move = now.moves[requestClass]?.takeIf { it.state == VersionMove.State.RUNNING }
        if (move == null) {
            // Without a move, a version that was put beside the first one waits for an operator to move traffic to it.
            val serving = now.servingVersion(requestClass) ?: versions.firstOrNull()
            return versions.associateWith { if (it == serving) 1.0 else 0.0 }
        }
        val share = trials[requestClass]?.takeIf { it.move == move }?.share ?: 0.0
        return versions.associateWith {
            when (it) {
                move.to -> share
                move.from -> 1.0 - share
                else -> 0.0
            }
        }
    }

    override fun recordOutcome(entry: CatalogueEntry, server: BackendServer, route: String, outcome: EvidenceOutcome) {
        val stratum = Stratum(route, context.self.failureDomain, server.failureDomain)
        val key = EvidenceKey(entry.requestClass, entry.version, stratum)
        val counted = if (outcome == EvidenceOutcome.GOOD) Outcomes(1, 0) else Outcomes(0, 1)
        val admitted = cold.evidenceKeyFor(server.id, key, outcome, entry.limits.rampMillis, nowMillis()) ?: return
        links.count(server.failureDomain, entry.requestClass, counted, nowMillis())
        if (entry.requestClass in trials) pool.count(admitted, counted, nowMillis())
    }

    override suspend fun permitAttempt(fingerprint: Fingerprint, attempt: String): Either<Problem, Unit> =
        crashes.permitAttempt(fingerprint, attempt, server = null)

    override suspend fun permitAttempt(
        fingerprint: Fingerprint,
        attempt: String,
        server: BackendServerId,
    ): Either<Problem, Unit> = crashes.permitAttempt(fingerprint, attempt, server)

    override fun recordCrash(fingerprint: Fingerprint, attempt: String): Unit = crashes.recordCrash(fingerprint, attempt)

    override fun releaseAttempt(fingerprint: Fingerprint, attempt: String): Unit = crashes.releaseAttempt(fingerprint, attempt)

    override fun fill(heartbeat: Heartbeat): Heartbeat = heartbeat.copy(
        evidence = pool.heartbeatCounters(trials.keys, nowMillis(), relays = members.value.members.size > DIRECT_UP_TO),
        crashes = crashes.recentMarks(),
    )

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        heartbeat.evidence.forEach { pool.merge(it) }
        crashes.merge(heartbeat.crashes)
    }

    private fun look(now: Catalogue) {
        follow(now)
        for ((requestClass, trial) in trials) {
            val left = trial.move.completeByEpochMillis - context.wallClock.now().toEpochMilliseconds()
            val spread = SPREAD_TIME.inWholeMilliseconds
            trial.evaluate(pool.totals(requestClass), nowMillis(), left - spread, surroundings(requestClass))
        }
        submitVerdicts(now)
    }

    /** Begins and ends trials as the catalogue's moves do. */
    private fun follow(now: Catalogue) {
        pool.purge(now)
        val moves = now.moves.filterValues { it.state == VersionMove.State.RUNNING }
        trials.entries.removeAll { (requestClass, trial) -> moves[requestClass] != trial.move }
        for ((requestClass, move) in moves) {
            if (requestClass in trials) continue
            val ramp = now.entriesOf(requestClass).firstOrNull { it.version == move.to }?.limits?.rampMillis ?: 0
            trials[requestClass] =
                MoveTrial(requestClass, move, pool.totals(requestClass), ramp, stages, rates, context.random)
        }
    }

    private fun submitVerdicts(now: Catalogue) {
        val ends = trials.filterValues { it.verdict != VersionMove.State.RUNNING }
            .map { (requestClass, trial) -> CatalogueChange.EndMove(requestClass, trial.verdict) }
        if (ends.isEmpty() || isSubmitting || lastSubmit?.let { it.elapsedNow() < SUBMIT_PAUSE } == true) return
        isSubmitting = true
        lastSubmit = context.time.markNow()
        context.scope.launch {
            try {
                if (mayAct()) {
                    catalogue.submit(CatalogueUpdate(now.version, ends, "judge at ${context.self.id}")).onLeft {
                        log.warn { "judge: the end of a move was not recorded: ${it.detail}" }
                    }
                }
            } finally {
                isSubmitting = false
            }
        }
    }

    private fun surroundings(requestClass: RequestClass) = object : MoveTrial.Environment {
        override fun recentServers(version: VersionName) = cold.recentServers(requestClass, version, nowMillis())

        override fun isBadLink(to: FailureDomain) = links.isBadForOtherClasses(to, requestClass)
    }

    private fun nowMillis() = start.elapsedNow().inWholeMilliseconds

    public companion object {
        /** Time between looks at the evidence; with a heartbeat's 500 ms it leaves more than 1 s of the 2 s of P2. */
        public val EVALUATION_INTERVAL: Duration = 250.milliseconds

        // A change of the catalogue is in force everywhere within 4 s.
        private val SPREAD_TIME = 5.seconds
        private val SUBMIT_PAUSE = 1.seconds
        private const val DIRECT_UP_TO = 16
    }
}
