package org.berylpoint.entry.judgement

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.berylpoint.entry.catalogue.CatalogueSource
import org.berylpoint.entry.member.HeartbeatExtension
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
 * Judges versions by evidence pooled over the entry instances, and limits the crashes that a single request causes.
 *
 * Every instance evaluates the pooled evidence and applies its own verdict at once, so that a network partition delays
 * no rollback. An instance for which [mayRecordMoveEnd] returns true records the end of the move in the catalogue,
 * which all instances then follow.
 */
@OptIn(ExperimentalTime::class)
public class PooledJudge(
    private val context: NodeContext,
    private val members: StateFlow<MembershipView>,
    private val catalogue: CatalogueSource,
    private val mayRecordMoveEnd: suspend () -> Boolean,
    private val rates: ErrorRates = ErrorRates(),
    private val stages: MoveStages = MoveStages(minStageMillis = 10_000),
) : Judge,
    HeartbeatExtension {
    private val start = context.time.markNow()
    private val pool = EvidencePool(context.self.id, context.random)
    private val linkHealth = LinkHealth()
    private val coldServers = ColdServerFilter()
    private val crashLimiter = CrashLimiter(context, members)
    private val trials = mutableMapOf<RequestClass, MoveTrial>()
    private var isSubmitting = false
    private var lastSubmission: ComparableTimeMark? = null

    /** Starts to evaluate running moves every [EVALUATION_INTERVAL] and to read quarantined requests. */
    public fun start() {
        crashLimiter.start()
        context.scope.launch {
            while (isActive) {
                catalogue.current.value?.let(::evaluateMoves)
                delay(EVALUATION_INTERVAL)
            }
        }
    }

    /** Answers a peer's notice of a crash, or of an attempt that it wants to start. */
    public fun handle(notice: CrashNotice): PeerMessage = crashLimiter.handle(notice)

    override fun trafficShares(requestClass: RequestClass, route: String): Map<VersionName, Double> {
        val now = catalogue.current.value ?: return emptyMap()
        val versions = now.entriesOf(requestClass).map { it.version }
        val move = now.moves[requestClass]?.takeIf { it.state == VersionMove.State.RUNNING }
        if (move == null) {
            // A version added beside the serving one gets no traffic until an operator starts a move to it.
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
        val evidenceKey = coldServers.evidenceKeyFor(server.id, key, outcome, entry.limits.rampMillis, nowMillis())
            ?: return
        linkHealth.count(server.failureDomain, entry.requestClass, counted, nowMillis())
        if (entry.requestClass in trials) pool.count(evidenceKey, counted, nowMillis())
    }

    override suspend fun permitAttempt(fingerprint: Fingerprint, attempt: String): Either<Problem, Unit> =
        crashLimiter.permitAttempt(fingerprint, attempt, server = null)

    override suspend fun permitAttempt(
        fingerprint: Fingerprint,
        attempt: String,
        server: BackendServerId,
    ): Either<Problem, Unit> = crashLimiter.permitAttempt(fingerprint, attempt, server)

    override fun recordCrash(fingerprint: Fingerprint, attempt: String): Unit =
        crashLimiter.recordCrash(fingerprint, attempt)

    override fun releaseAttempt(fingerprint: Fingerprint, attempt: String): Unit =
        crashLimiter.releaseAttempt(fingerprint, attempt)

    override fun fill(heartbeat: Heartbeat): Heartbeat = heartbeat.copy(
        evidence = pool.heartbeatCounters(
            trials.keys,
            nowMillis(),
            relays = members.value.members.size > MAX_MEMBERS_WITHOUT_RELAY,
        ),
        crashes = crashLimiter.recentMarks(),
    )

    override fun receive(heartbeat: Heartbeat, ageMillis: Long) {
        heartbeat.evidence.forEach { pool.merge(it) }
        crashLimiter.merge(heartbeat.crashes)
    }

    private fun evaluateMoves(now: Catalogue) {
        updateTrials(now)
        for ((requestClass, trial) in trials) {
            val remaining = trial.move.completeByEpochMillis - context.wallClock.now().toEpochMilliseconds()
            val propagation = CATALOGUE_PROPAGATION_TIME.inWholeMilliseconds
            trial.evaluate(pool.totals(requestClass), nowMillis(), remaining - propagation, environment(requestClass))
        }
        submitVerdicts(now)
    }

    /** Removes trials of moves that have ended or were replaced, and adds trials for new moves. */
    private fun updateTrials(now: Catalogue) {
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
        val moveEnds = trials.filterValues { it.verdict != VersionMove.State.RUNNING }
            .map { (requestClass, trial) -> CatalogueChange.EndMove(requestClass, trial.verdict) }
        if (moveEnds.isEmpty() || isSubmitting) return
        if (lastSubmission?.let { it.elapsedNow() < MIN_SUBMISSION_INTERVAL } == true) return
        isSubmitting = true
        lastSubmission = context.time.markNow()
        context.scope.launch {
            try {
                if (mayRecordMoveEnd()) {
                    catalogue.submit(CatalogueUpdate(now.version, moveEnds, "judge at ${context.self.id}")).onLeft {
                        log.warn { "judge: the end of a move could not be recorded in the catalogue: ${it.detail}" }
                    }
                }
            } finally {
                isSubmitting = false
            }
        }
    }

    private fun environment(requestClass: RequestClass) = object : MoveTrial.Environment {
        override fun recentServers(version: VersionName) = coldServers.recentServers(requestClass, version, nowMillis())

        override fun isLinkBadForOtherClasses(to: FailureDomain) = linkHealth.isBadForOtherClasses(to, requestClass)
    }

    private fun nowMillis() = start.elapsedNow().inWholeMilliseconds

    public companion object {
        /**
         * Time between evaluations of the evidence.
         *
         * A bad version must get no requests 2 s after there is sufficient evidence against it; this interval and the
         * heartbeat interval of 500 ms leave more than 1 s of that.
         */
        public val EVALUATION_INTERVAL: Duration = 250.milliseconds

        // A catalogue change is in force on all reachable instances within 4 s.
        private val CATALOGUE_PROPAGATION_TIME = 5.seconds
        private val MIN_SUBMISSION_INTERVAL = 1.seconds
        private const val MAX_MEMBERS_WITHOUT_RELAY = 16
    }
}
