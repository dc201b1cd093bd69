package org.berylpoint.entry.stream

import org.berylpoint.entry.backend.BackendClient
import org.berylpoint.entry.backend.ServerDirectory
import org.berylpoint.entry.judgement.Judge
import org.berylpoint.entry.pipeline.Dispatcher
import org.berylpoint.entry.pipeline.InstanceRetryBudget
import org.berylpoint.entry.pipeline.Placer
import org.berylpoint.entry.pipeline.WaitQueues
import org.berylpoint.model.Catalogue
import org.berylpoint.model.RequestClass
import org.berylpoint.policy.migration.AnswerLengths
import kotlin.time.TimeSource

/** Services and state that all streams of an instance share. */
internal class StreamContext(
    val placer: Placer,
    val dispatcher: Dispatcher,
    val client: BackendClient,
    val directory: ServerDirectory,
    val judge: Judge,
    val retryBudget: InstanceRetryBudget,
    val waitQueues: WaitQueues,
    val time: TimeSource.WithComparableMarks,
    val catalogue: () -> Catalogue?,
) {
    private val answerLengths = HashMap<RequestClass, AnswerLengths>()

    /** Returns the statistics of answer lengths of a class, in tokens. */
    fun lengths(requestClass: RequestClass): AnswerLengths = answerLengths.getOrPut(requestClass) { AnswerLengths() }
}
