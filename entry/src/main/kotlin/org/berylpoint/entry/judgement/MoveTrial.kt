package org.berylpoint.entry.judgement

import io.github.oshai.kotlinlogging.KotlinLogging
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.RequestClass
import org.berylpoint.model.VersionMove
import org.berylpoint.model.VersionName
import org.berylpoint.policy.judgement.CanaryShare
import org.berylpoint.policy.judgement.ErrorRates
import org.berylpoint.policy.judgement.FaultyLinkDetector
import org.berylpoint.policy.judgement.Finding
import org.berylpoint.policy.judgement.MoveStages
import org.berylpoint.policy.judgement.Outcomes
import org.berylpoint.policy.judgement.Stratum
import org.berylpoint.policy.judgement.StratumOutcomes
import org.berylpoint.policy.judgement.VersionTrial
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/**
 * This instance's evaluation of one running move: first at the canary share, then in stages of increasing share.
 *
 * Each stage has a comparison of its own between the new and the old version.
 */
internal class MoveTrial(
    private val requestClass: RequestClass,
    val move: VersionMove,
    initialTotals: Map<EvidenceKey, Outcomes>,
    private val rampMillis: Long,
    private val stages: MoveStages,
    private val rates: ErrorRates,
    private val random: Random,
) {
    private var lastTotals = initialTotals
    private var outcomesByStratum = mutableMapOf<Stratum, StratumOutcomes>()
    private val firstNewOutcomeMillis = mutableMapOf<Stratum, Long>()
    private var stage = CANARY
    private var stageStartMillis: Long? = null
    private var expeditedStageMillis: Long? = null

    // One trial covers the whole move and one each stage: in the former, a fault that appears only in a later stage
    // would be outweighed by the good outcomes of the earlier stages.
    private val overallTrial = VersionTrial(rates.copy(falseAlarmRate = rates.falseAlarmRate / 2), random)
    private var stageTrial = newStageTrial()
    private val deferredNew = DeferredSlowOutcomes(rampMillis)
    private val deferredOld = DeferredSlowOutcomes(rampMillis)
    private val faultyLinkDetector = FaultyLinkDetector(rates, random)
    private var faultyLinks = emptySet<Pair<FailureDomain, FailureDomain>>()

    /** The state in which the move is to end; [VersionMove.State.RUNNING] until that is decided. */
    var verdict: VersionMove.State = VersionMove.State.RUNNING
        private set

    /** The new version's current share of the class's new requests, from 0 to 1. */
    val share: Double
        get() = when {
            verdict == VersionMove.State.TAKEN_BACK -> 0.0
            verdict == VersionMove.State.DONE -> 1.0
            stage == CANARY -> CanaryShare.next(
                newOutcomes.total + deferredNew.total,
                oldOutcomes.total + deferredOld.total,
            )

            else -> stages.share(stage)
        }

    private val newOutcomes get() = outcomesByStratum.values.map { it.new }.total()
    private val oldOutcomes get() = outcomesByStratum.values.map { it.old }.total()

    /**
     * Evaluates the pooled [totals] of all outcomes so far; [remainingMillis] is the time until the move must have
     * ended.
     */
    fun evaluate(totals: Map<EvidenceKey, Outcomes>, nowMillis: Long, remainingMillis: Long, environment: Environment) {
        if (verdict != VersionMove.State.RUNNING) return
        val stageStart = stageStartMillis ?: nowMillis.also { stageStartMillis = it }
        val stageMillis = expeditedStageMillis
            ?: stages.expeditedStageMillis(remainingMillis).also { expeditedStageMillis = it }
        val recent = outcomesSinceLastEvaluation(totals, nowMillis, environment)
        updateFaultyLinks(recent, nowMillis)
        val isWarm = firstNewOutcomeMillis.values.minOrNull()?.let { nowMillis - it >= rampMillis } == true
        val outcomes = withPooledBaselines(recent, nowMillis, environment)
        val alarm = overallTrial.add(outcomes, nowMillis, isWarm) as? Finding.Worse
        val finding = stageTrial.add(outcomes, nowMillis, isWarm)
        val worse = alarm ?: finding as? Finding.Worse
        when {
            worse != null -> rollBack("worse than ${move.from}" + worse.route?.let { " on $it" }.orEmpty())
            finding == Finding.NotWorse && stages.mayAdvance(nowMillis - stageStart) -> advance(nowMillis)
            else -> advanceToDeadline(nowMillis, stages.requiredStage(remainingMillis, stageMillis))
        }
    }

    /** Outcomes counted since the previous evaluation, without those deferred and with those released now. */
    private fun outcomesSinceLastEvaluation(
        totals: Map<EvidenceKey, Outcomes>,
        nowMillis: Long,
        environment: Environment,
    ): Map<Stratum, StratumOutcomes> {
        val new = mutableMapOf<Stratum, Outcomes>()
        val old = mutableMapOf<Stratum, Outcomes>()
        for ((key, total) in totals) {
            val previous = lastTotals[key] ?: Outcomes.NONE
            val delta = Outcomes(total.good - previous.good, total.bad - previous.bad)
            val isNew = key.version == move.to
            when {
                delta.total <= 0 || (!isNew && key.version != move.from) -> Unit

                key.heldAt != null ->
                    (if (isNew) deferredNew else deferredOld).add(key.heldAt, key.stratum, delta, nowMillis)

                else -> (if (isNew) new else old).merge(key.stratum, delta, Outcomes::plus)
            }
        }
        lastTotals = totals
        deferredNew.release(environment.recentServers(move.to), nowMillis).forEach { (stratum, outcomes) ->
            new.merge(stratum, outcomes, Outcomes::plus)
        }
        deferredOld.release(environment.recentServers(move.from), nowMillis).forEach { (stratum, outcomes) ->
            old.merge(stratum, outcomes, Outcomes::plus)
        }
        val recent = (new.keys + old.keys).associateWith {
            StratumOutcomes(new[it] ?: Outcomes.NONE, old[it] ?: Outcomes.NONE)
        }
        recent.forEach { (stratum, both) -> outcomesByStratum.merge(stratum, both, ::join) }
        return recent
    }

    private fun updateFaultyLinks(recent: Map<Stratum, StratumOutcomes>, nowMillis: Long) {
        val faulty = faultyLinkDetector.add(recent.mapValues { it.value.old }.filterValues { it.total > 0 }, nowMillis)
        (faulty - faultyLinks).forEach { (from, to) ->
            log.warn { "judge: the link from $from to $to is faulty for ${move.from} of $requestClass as well" }
        }
        faultyLinks = faulty
    }

    /**
     * Completes [recent] for strata in which the new version has had outcomes for [NO_BASELINE_MILLIS] but the old one
     * has none: the old outcomes of the same route on other links are the baseline there, unless the link is bad for
     * other request classes too.
     */
    private fun withPooledBaselines(
        recent: Map<Stratum, StratumOutcomes>,
        nowMillis: Long,
        environment: Environment,
    ): Map<Stratum, StratumOutcomes> {
        recent.filterValues { it.new.total > 0 }.keys.forEach { firstNewOutcomeMillis.putIfAbsent(it, nowMillis) }
        val withoutBaseline = firstNewOutcomeMillis.filter { (stratum, first) ->
            nowMillis - first >= NO_BASELINE_MILLIS &&
                (outcomesByStratum[stratum]?.old?.total ?: 0) == 0L &&
                !environment.isLinkBadForOtherClasses(stratum.to)
        }.keys
        if (withoutBaseline.isEmpty()) return recent
        return recent + withoutBaseline.associateWith { stratum ->
            val old = recent.filterKeys { it.route == stratum.route }.values.map { it.old }.total()
            StratumOutcomes(recent[stratum]?.new ?: Outcomes.NONE, old)
        }
    }

    private fun advance(nowMillis: Long) {
        if (stages.isLast(stage)) {
            log.info { "judge: the move of $requestClass to ${move.to} is complete" }
            verdict = VersionMove.State.DONE
        } else {
            enterStage(stage + 1, nowMillis)
        }
    }

    /**
     * Enters [requiredStage] without a finding, so that the move meets its deadline; rolls back instead if the evidence
     * is against the new version or it has had no outcomes.
     */
    private fun advanceToDeadline(nowMillis: Long, requiredStage: Int) {
        if (requiredStage <= stage) return
        when {
            overallTrial.isLikelyWorse || stageTrial.isLikelyWorse ->
                rollBack("it is probably worse than ${move.from}, and the deadline is near")

            newOutcomes.total == 0L && oldOutcomes.total >= MIN_OLD_OUTCOMES ->
                rollBack("none of its requests has ended, and the deadline is near")

            stages.isLast(requiredStage - 1) -> {
                log.info { "judge: the move of $requestClass to ${move.to} is complete at its deadline" }
                verdict = VersionMove.State.DONE
            }

            else -> enterStage(requiredStage, nowMillis)
        }
    }

    private fun enterStage(next: Int, nowMillis: Long) {
        log.info { "judge: ${move.to} of $requestClass now gets a traffic share of ${stages.share(next)}" }
        stage = next
        stageStartMillis = nowMillis
        stageTrial = newStageTrial()
    }

    private fun rollBack(reason: String) {
        log.warn { "judge: the move of $requestClass to ${move.to} is rolled back: $reason; new version: $newOutcomes" }
        verdict = VersionMove.State.TAKEN_BACK
    }

    private fun newStageTrial() =
        VersionTrial(rates.copy(falseAlarmRate = rates.falseAlarmRate / 2 / STAGE_TRIALS), random)

    private fun List<Outcomes>.total() = fold(Outcomes.NONE, Outcomes::plus)

    private fun join(a: StratumOutcomes, b: StratumOutcomes) = StratumOutcomes(a.new + b.new, a.old + b.old)

    /** State of servers and links that the trial reads but does not keep. */
    interface Environment {
        /** The servers of a version that had an outcome recently, good or bad. */
        fun recentServers(version: VersionName): Set<BackendServerId>

        /** Whether outcomes of other request classes are bad on the link to a failure domain. */
        fun isLinkBadForOtherClasses(to: FailureDomain): Boolean
    }

    private companion object {
        const val CANARY = -1

        // The canary stage and three stages after it.
        const val STAGE_TRIALS = 4
        const val NO_BASELINE_MILLIS = 5_000L

        // At the canary share, the new version is expected to get about 8 requests in the meantime.
        const val MIN_OLD_OUTCOMES = 200
    }
}
