package org.berylpoint.testkit.proofs

import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.berylpoint.entry.member.Membership
import org.berylpoint.entry.once.OnceDecision
import org.berylpoint.entry.once.OnceTicket
import org.berylpoint.entry.once.RelayingTable
import org.berylpoint.entry.once.StoredAnswer
import org.berylpoint.entry.once.TableOnceRegistry
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.ErrorKind
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.IdempotencyKey
import org.berylpoint.model.Problem
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.RunState
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.Workspace
import org.berylpoint.peer.PeerMessage
import org.berylpoint.testkit.rig.AbsentBackends
import org.berylpoint.testkit.rig.AbsentPlatform
import org.berylpoint.testkit.rig.Rig
import org.berylpoint.testkit.rig.context
import org.berylpoint.testkit.standin.Faults
import org.berylpoint.testkit.standin.MemoryTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a caller was told. */
sealed interface Told {
    data class Answer(val body: String) : Told

    data class Refusal(val problem: Problem, val request: RequestId) : Told
}

/** Several registries over one table and one booking application that writes down what it ran. */
class OnceWorld(test: TestScope, seed: Int) {
    private var requests = 0
    val rig = Rig(test, seed)
    val table = MemoryTable(faults = Faults(test.backgroundScope, callTimeout = 1.seconds))

    /** The booking application's journal: how often each key ran. */
    val runs = mutableMapOf<String, Int>()

    /** The requests that ran, by the id that their callers got them accepted under. */
    val ranRequests = mutableSetOf<RequestId>()

    /** The callers' journal: every answer to each key. */
    val told = mutableMapOf<String, MutableList<Told>>()

    /** Keys whose requests an instance ran after another one had accepted them. */
    val takenOver = mutableSetOf<String>()
    val nodes = mutableListOf<OnceNode>()

    fun node(id: String, domain: String = "dar-ea"): OnceNode =
        OnceNode(this, id, FailureDomain(domain)).also { nodes += it }

    fun run(request: ServeRequest): StoredAnswer {
        val key = request.idempotencyKey!!.value
        ranRequests += request.id
        val count = runs.merge(key, 1, Int::plus)
        return StoredAnswer(201, "text/plain", "seat for $key, run $count")
    }

    /** The states of the records in the table, by key. */
    fun states(): Map<String, String> = table.content.values
        .filter { it.key.partition.startsWith("once/") }
        .associate { it.key.sort to (Json.parseToJsonElement(it.value).jsonObject["state"].typeName()) }

    private fun kotlinx.serialization.json.JsonElement?.typeName() =
        this?.jsonObject?.get("type")?.jsonPrimitive?.content?.substringAfterLast('.') ?: "Accepted"

    fun request(key: String, body: String = "book $key", deadline: Duration = 30.seconds) = ServeRequest(
        id = RequestId("r${requests++}"),
        workspace = Workspace("mshikamano"),
        requestClass = RequestClass("booking"),
        kind = ServiceKind.PLAIN,
        method = "POST",
        path = "/seats",
        contentType = "text/plain",
        body = body,
        idempotencyKey = IdempotencyKey(key),
        deadline = rig.time.markNow() + deadline,
        stream = false,
        fingerprint = Fingerprint("mshikamano|booking|$body"),
    )

    /** What every schedule must keep; called when all faults have ended and time was given to settle. */
    fun violations(): List<String> = buildList {
        runs.filterValues { it > 1 }.forEach { (key, count) -> add("P7: $key ran $count times") }
        val states = states()
        states.filterValues { it == "Accepted" }.keys.forEach { add("P7: $it is accepted and was never run") }
        // Only a refusal that a caller was told may free a key that was taken over.
        takenOver.filter { states[it] == "Released" && told[it].orEmpty().none { told -> told is Told.Refusal } }
            .forEach { add("P7: $it was taken over and then dropped") }
        nodes.filter {
            it.machine.isAlive && it.waiting > 0
        }.forEach { add("P5: ${it.waiting} callers still wait at ${it.id}") }
        told.forEach { (key, answers) ->
            answers.filterIsInstance<Told.Refusal>()
                .filter { it.problem.runState == RunState.NOT_RUN && it.request in ranRequests }
                .forEach { add("P6: ${it.request} for $key ran, but its caller was told not-run") }
            if (answers.any { it is Told.Answer } &&
                runs[key] != 1
            ) {
                add("P7: $key was answered, ran ${runs[key]} times")
            }
        }
    }
}

/** One entry instance with the parts that non-idempotent requests need, and a minimal pipeline. */
class OnceNode(private val world: OnceWorld, id: String, domain: FailureDomain) {
    val machine = world.rig.machine(id, domain)
    val id = machine.instance.id
    private val context = world.rig.context(
        machine,
        world.table.caller(machine.instance.id),
        AbsentPlatform,
        AbsentPlatform,
        AbsentBackends,
        seeds = world.nodes.map { it.machine.instance.peerAddress },
    )
    val membership = Membership(context)
    val relaying = RelayingTable(context, membership.view)
    val registry = TableOnceRegistry(context, membership.view, relaying, relaying.pacer)

    /** What happens between the steps of a request; tests suspend or kill here. */
    var beforeDispatch: suspend () -> Unit = {}
    var beforeSend: suspend () -> Unit = {}
    var runTime: Duration = 200.milliseconds

    /** Callers that have not been told anything yet. */
    var waiting = 0
        private set

    init {
        membership.attach(relaying)
        machine.network.serve { _, message ->
            membership.handle(message) ?: when (message) {
                is PeerMessage.TableRelay -> relaying.handle(message)
                is PeerMessage.TakeOver -> registry.handle(message)
                else -> PeerMessage.Refusal("unexpected")
            }
        }
        membership.start()
        relaying.start()
        registry.start { request, ticket ->
            world.takenOver += request.idempotencyKey!!.value
            serve(request, ticket)
        }
    }

    /** Sends a request as a caller of this instance; a caller whose instance dies is told nothing. */
    fun submit(key: String, body: String = "book $key", deadline: Duration = 30.seconds): Job = machine.scope.launch {
        waiting++
        val request = world.request(key, body, deadline)
        val told = when (val decision = registry.begin(request)) {
            is OnceDecision.Answered -> Told.Answer(decision.answer.body)
            is OnceDecision.Refused -> Told.Refusal(decision.problem, request.id)
            is OnceDecision.Run -> serve(request, decision.ticket)
        }
        waiting--
        world.told.getOrPut(key) { mutableListOf() } += told
    }

    private suspend fun serve(request: ServeRequest, ticket: OnceTicket): Told {
        beforeDispatch()
        val problem = ticket.dispatch(BackendServerId("booking-1")).leftOrNull()
        if (problem != null) {
            ticket.abandon()
            return Told.Refusal(if (ticket.mayRunElsewhere) unknown else problem, request.id)
        }
        beforeSend()
        val answer = world.run(request)
        delay(runTime)
        ticket.finish(answer)
        return Told.Answer(answer.body)
    }

    private companion object {
        val unknown = Problem(ErrorKind.OutcomeUnknown, "the request may run elsewhere")
    }
}
