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

/** One running move as this instance judges it: at the canary share, then in stages, each with a trial of its own. */
internal class MoveTrial(
    private val requestClass: RequestClass,
    val move: VersionMove,
    baseline: Map<EvidenceKey, Outcomes>,
    private val rampMillis: Long,
    private val stages: MoveStages,
    private val rates: ErrorRates,
    private val random: Random,
) {
    private var last = baseline
    private var sum = mutableMapOf<Stratum, StratumOutcomes>()
    private val firstNewMillis = mutableMapOf<Stratum, Long>()
    private var stage = CANARY
    private var stageSinceMillis: Long? = null
    private var hurryMillis: Long? = null

    // One trial over the whole move and one for each stage, for a fault that comes later would drown in the first.
    private val whole = VersionTrial(rates.copy(falseAlarmRate = rates.falseAlarmRate / 2), random)
    private var trial = newTrial()
    private val heldNew = DeferredSlowOutcomes(rampMillis)
    private val heldOld = DeferredSlowOutcomes(rampMillis)
    private val links = FaultyLinkDetector(rates, random)
    private var faultyLinks = emptySet<Pair<FailureDomain, FailureDomain>>()

    /** How the move is to end, once that is known; [VersionMove.State.RUNNING] before. */
    var verdict: VersionMove.State = VersionMove.State.RUNNING
        private set

    /** The share of the new version now. */
    val share: Double
        get() = when {
            verdict == VersionMove.State.TAKEN_BACK -> 0.0
            verdict == VersionMove.State.DONE -> 1.0
            stage == CANARY -> CanaryShare.next(newSeen.total + heldNew.total, oldSeen.total + heldOld.total)
            else -> stages.share(stage)
        }

    private val newSeen get() = sum.values.map { it.new }.total()
    private val oldSeen get() = sum.values.map { it.old }.total()

    /** Judges the pooled [totals]; [leftMillis] is the time until the move must have ended. */
    fun evaluate(totals: Map<EvidenceKey, Outcomes>, nowMillis: Long, leftMillis: Long, scene: Environment) {
        if (verdict != VersionMove.State.RUNNING) return
        val since = stageSinceMillis ?: nowMillis.also { stageSinceMillis = it }
        val limit = hurryMillis ?: stages.expeditedStageMillis(leftMillis).also { hurryMillis = it }
        val news = newsOf(totals, nowMillis, scene)
        noteLinks(news, nowMillis)
        val isWarm = firstNewMillis.values.minOrNull()?.let { nowMillis - it >= rampMillis } == true
        val outcomes = comparable(news, nowMillis, scene)
        val alarm = whole.add(outcomes, nowMillis, isWarm) as? Finding.Worse
        val finding = trial.add(outcomes, nowMillis, isWarm)
        val bad = alarm ?: finding as? Finding.Worse
        when {
            bad != null -> takeBack("worse than ${move.from}" + bad.route?.let { " on $it" }.orEmpty())
            finding == Finding.NotWorse && stages.mayAdvance(nowMillis - since) -> advance(nowMillis)
            else -> hurry(nowMillis, stages.requiredStage(leftMillis, limit))
        }
    }

    private fun newsOf(
        totals: Map<EvidenceKey, Outcomes>,
        nowMillis: Long,
        scene: Environment,
    ): Map<Stratum, StratumOutcomes> {
        val new = mutableMapOf<Stratum, Outcomes>()
        val old = mutableMapOf<Stratum, Outcomes>()
        for ((key, total) in totals) {
            val before = last[key] ?: Outcomes.NONE
            val delta = Outcomes(total.good - before.good, total.bad - before.bad)
            val isNew = key.version == move.to
            when {
                delta.total <= 0 || (!isNew && key.version != move.from) -> Unit

                key.heldAt != null ->
                    (if (isNew) heldNew else heldOld).add(key.heldAt, key.stratum, delta, nowMillis)

                else -> (if (isNew) new else old).merge(key.stratum, delta, Outcomes::plus)
            }
        }
        last = totals
        heldNew.release(scene.recentServers(move.to), nowMillis).forEach { (it, more) ->
            new.merge(it, more, Outcomes::plus)
        }
        heldOld.release(scene.recentServers(move.from), nowMillis).forEach { (it, more) ->
            old.merge(it, more, Outcomes::plus)
        }
        val news = (new.keys + old.keys).associateWith {
            StratumOutcomes(new[it] ?: Outcomes.NONE, old[it] ?: Outcomes.NONE)
        }
        news.forEach { (stratum, both) -> sum.merge(stratum, both, ::join) }
        return news
    }

    private fun noteLinks(news: Map<Stratum, StratumOutcomes>, nowMillis: Long) {
        val faulty = links.add(news.mapValues { it.value.old }.filterValues { it.total > 0 }, nowMillis)
        (faulty - faultyLinks).forEach { (from, to) ->
            log.warn { "judge: the link from $from to $to is at fault for $requestClass with ${move.from} too" }
        }
        faultyLinks = faulty
    }

    /**
     * Adds old outcomes of the same route on other links where the old version has none on a link for a while, unless
     * the link is known to be bad for other classes.
     */
    private fun comparable(
        news: Map<Stratum, StratumOutcomes>,
        nowMillis: Long,
        scene: Environment,
    ): Map<Stratum, StratumOutcomes> {
        news.filterValues { it.new.total > 0 }.keys.forEach { firstNewMillis.putIfAbsent(it, nowMillis) }
        val lonely = firstNewMillis.filter { (stratum, first) ->
            nowMillis - first >= LONELY_MILLIS && (sum[stratum]?.old?.total ?: 0) == 0L && !scene.isBadLink(stratum.to)
        }.keys
        if (lonely.isEmpty()) return news
        return news + lonely.associateWith { stratum ->
            val old = news.filterKeys { it.route == stratum.route }.values.map { it.old }.total()
            StratumOutcomes(news[stratum]?.new ?: Outcomes.NONE, old)
        }
    }

    private fun advance(nowMillis: Long) {
        if (stages.isLast(stage)) {
            log.info { "judge: the move of $requestClass to ${move.to} is complete" }
            verdict = VersionMove.State.DONE
        } else {
            enter(stage + 1, nowMillis)
        }
    }

    /** Goes on without a finding when the set time is near, unless the evidence speaks against the version. */
    private fun hurry(nowMillis: Long, latest: Int) {
        if (latest <= stage) return
        when {
            whole.isLikelyWorse || trial.isLikelyWorse -> takeBack("it leans to worse than ${move.from} and time is up")

            newSeen.total == 0L && oldSeen.total >= MIN_OLD_TOTAL -> takeBack("it has answered no request in time")

            stages.isLast(latest - 1) -> {
                log.info { "judge: the move of $requestClass to ${move.to} is complete at the set time" }
                verdict = VersionMove.State.DONE
            }

            else -> enter(latest, nowMillis)
        }
    }

    private fun enter(next: Int, nowMillis: Long) {
        log.info { "judge: ${move.to} of $requestClass gets a share of ${stages.share(next)}" }
        stage = next
        stageSinceMillis = nowMillis
        trial = newTrial()
    }

    private fun takeBack(reason: String) {
        log.warn { "judge: the move of $requestClass to ${move.to} is rolled back: $reason; $newSeen of new" }
        verdict = VersionMove.State.TAKEN_BACK
    }

    private fun newTrial() = VersionTrial(rates.copy(falseAlarmRate = rates.falseAlarmRate / 2 / TRIALS), random)

    private fun List<Outcomes>.total() = fold(Outcomes.NONE, Outcomes::plus)

    private fun join(a: StratumOutcomes, b: StratumOutcomes) = StratumOutcomes(a.new + b.new, a.old + b.old)

    /** What a trial asks about the servers and links around it. */
    interface Environment {
        /** Servers of a version that answered or failed lately. */
        fun recentServers(version: VersionName): Set<BackendServerId>

        /** Whether other classes fare badly on the link to a failure domain. */
        fun isBadLink(to: FailureDomain): Boolean
    }

    private companion object {
        const val CANARY = -1

        // The canary and three stages.
        const val TRIALS = 4
        const val LONELY_MILLIS = 5_000L

        // At the canary share the new version would have had about 8 of these requests.
        const val MIN_OLD_TOTAL = 200
    }
}
