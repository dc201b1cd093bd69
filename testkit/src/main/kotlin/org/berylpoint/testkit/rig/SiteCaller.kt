package org.berylpoint.testkit.rig

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.berylpoint.model.Fingerprint
import org.berylpoint.model.IdempotencyKey
import org.berylpoint.model.RequestClass
import org.berylpoint.model.RequestId
import org.berylpoint.model.ResponseEvent
import org.berylpoint.model.ServeRequest
import org.berylpoint.model.ServiceKind
import org.berylpoint.model.Workspace
import org.berylpoint.testkit.load.chunkText
import org.berylpoint.testkit.standin.CallerEvent
import org.berylpoint.testkit.standin.FakePlainService
import org.berylpoint.testkit.standin.FakeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends requests to the entry instances of a [Site] and journals what comes back. */
public class SiteCaller internal constructor(private val site: Site) {
    private var requests = 0

    /** Sends one streamed chat through [at]; returns when it has ended for the caller. */
    public suspend fun chat(
        at: SiteNode,
        call: String,
        content: String,
        tokens: Int,
        deadline: Duration = 30.seconds,
        requestClass: String = "chat",
        workspace: String = "members",
    ) {
        val body = FakeText.request(requestClass, call, content, tokens)
        val expected = FakeText.expected(body)
        val request = request(workspace, requestClass, ServiceKind.MODEL, CHAT_PATH, body, null, deadline)
        send(at, Send(call, "$call-0", requestClass, isIdempotent = true, expected), request, deadline)
    }

    /** Sends one booking through [at], with [call] as its key; true when its answer arrived. */
    public suspend fun booking(
        at: SiteNode,
        call: String,
        send: Int = 0,
        deadline: Duration = 10.seconds,
        requestClass: String = "booking",
        workspace: String = "branches",
    ): Boolean {
        val body = FakePlainService.request(call, "seat-$call")
        val expected = FakePlainService.expected("POST", SEATS_PATH, body)
        val request = request(workspace, requestClass, ServiceKind.PLAIN, SEATS_PATH, body, call, deadline)
        return send(at, Send(call, "$call-$send", requestClass, isIdempotent = false, expected), request, deadline)
    }

    /** Sends a booking until its answer arrives, at most [sends] times, each time through another running instance. */
    public suspend fun bookingUntilAnswered(call: String, sends: Int = 4, pick: (Int) -> SiteNode) {
        repeat(sends) { send ->
            if (booking(pick(send), call, send)) return
            delay(RESEND_AFTER)
        }
    }

    private class Send(
        val call: String,
        val name: String,
        val requestClass: String,
        val isIdempotent: Boolean,
        val expected: String,
    )

    private suspend fun send(at: SiteNode, send: Send, request: ServeRequest, deadline: Duration): Boolean {
        val journal = site.journal
        journal.add(
            CallerEvent.Sent(
                journal.now(),
                send.call,
                send.name,
                send.requestClass,
                send.isIdempotent,
                deadline.inWholeMilliseconds,
                send.expected,
            ),
        )
        delay(CLIENT_DELAY)
        var end: ResponseEvent? = null
        if (at.machine.isAlive) {
            // Within the machine's scope, so that the connection breaks when the machine is killed.
            val connection = at.machine.scope.launch {
                at.node.pipeline.serve(request).collect { event ->
                    note(send, event)
                    if (event is ResponseEvent.End || event is ResponseEvent.Failed) end = event
                }
            }
            try {
                connection.join()
            } finally {
                // A caller that is cancelled disconnects.
                connection.cancel()
            }
        }
        if (end == null) journal.add(CallerEvent.Disconnected(journal.now(), send.call, send.name))
        return end is ResponseEvent.End
    }

    private fun note(send: Send, event: ResponseEvent) {
        val journal = site.journal
        val now = journal.now()
        when (event) {
            is ResponseEvent.Head -> journal.add(CallerEvent.Head(now, send.call, send.name, event.status))

            is ResponseEvent.Data -> {
                val text = if (send.isIdempotent) chunkText(event.text) else event.text
                if (text != null) journal.add(CallerEvent.Chunk(now, send.call, send.name, text))
            }

            ResponseEvent.End -> journal.add(CallerEvent.Complete(now, send.call, send.name))

            is ResponseEvent.Failed -> {
                val problem = event.problem
                journal.add(
                    CallerEvent.Problem(now, send.call, send.name, problem.kind.name, problem.runState.wireName),
                )
            }
        }
    }

    private fun request(
        workspace: String,
        requestClass: String,
        kind: ServiceKind,
        path: String,
        body: String,
        key: String?,
        deadline: Duration,
    ) = ServeRequest(
        id = RequestId("site-${requests++}"),
        workspace = Workspace(workspace),
        requestClass = RequestClass(requestClass),
        kind = kind,
        method = "POST",
        path = path,
        contentType = "application/json",
        body = body,
        idempotencyKey = key?.let { IdempotencyKey(it) },
        deadline = site.rig.time.markNow() + deadline,
        stream = kind == ServiceKind.MODEL,
        // Any function of workspace, class and body does; the text itself makes failures readable.
        fingerprint = Fingerprint("$workspace/$requestClass/${body.hashCode()}"),
    )

    private companion object {
        const val CHAT_PATH = "/v1/chat/completions"
        const val SEATS_PATH = "/seats"
        val CLIENT_DELAY = 3.milliseconds
        val RESEND_AFTER = 400.milliseconds
    }
}
