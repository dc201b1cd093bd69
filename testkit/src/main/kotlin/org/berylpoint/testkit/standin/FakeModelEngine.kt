package org.berylpoint.testkit.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.berylpoint.entry.backend.BackendCall
import org.berylpoint.entry.backend.BackendEvent
import org.berylpoint.model.BackendServer
import org.berylpoint.model.RequestId
import org.berylpoint.model.VersionName
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** Speeds and sizes of a stand-in engine; times in milliseconds. */
public data class EngineSpeed(
    /** Places in the batch; calls above wait inside the engine. */
    val slots: Int = 16,
    val tokenMillis: Double = 20.0,
    /** How much longer a token takes with a full batch. */
    val fullBatchFactor: Double = 2.0,
    val prefillTokenMillis: Double = 1.0,
    /** Factor on the time to the first token of a cold engine. */
    val coldFactor: Double = 6.0,
    /** Prompts whose prefix the cache holds. */
    val cacheEntries: Int = 64,
    val loadLagMillis: Long = 1_000,
)

/** Load as the engine reports it, [EngineSpeed.loadLagMillis] old. */
public data class EngineLoad(val running: Int, val waiting: Int, val cachedPrompts: Int)

/**
 * An in-memory model engine that speaks the OpenAI chat completion format.
 *
 * With `stream_options.continuous_usage_stats`, as vLLM has it, each chunk carries the tokens generated so far in this
 * attempt. The `id` counts from 1 in every process, so ids collide over restarts.
 */
public class FakeModelEngine(
    server: BackendServer,
    version: VersionName,
    journal: Journal,
    scope: CoroutineScope,
    random: Random,
    private val speed: EngineSpeed = EngineSpeed(),
    carrying: Carrying = Carrying(cold = 2, warm = speed.slots, warmupMillis = 20_000),
    overload: OverloadBehaviour = OverloadBehaviour.SLOW,
    startsWarm: Boolean = true,
    private val kvTransfer: Boolean = true,
) : FakeServer(server, version, journal, scope, random, carrying, overload, startsWarm) {
    private val slots = Semaphore(speed.slots)
    private val cache = object : LinkedHashMap<String, Int>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Int>): Boolean = size > speed.cacheEntries
    }
    private val streams = mutableMapOf<RequestId, Stream>()
    private val reports = ArrayDeque<Pair<Long, EngineLoad>>()
    private var batch = 0
    private var nextId = 1
    private var highestFencing = 0L

    /** Prompt and answer tokens that were computed although some engine had computed them before. */
    public var recomputedTokens: Long = 0
        private set

    /** Orders carried out, oldest first, each with its fencing number. */
    public val orders: MutableList<Pair<Long, String>> = mutableListOf()

    private class Stream(val prompt: String, var done: Int)

    override fun onRestart() {
        cache.clear()
        nextId = 1
    }

    /** Load as of the last report, which lags. */
    public fun load(): EngineLoad {
        noteLoad()
        val known = journal.now() - speed.loadLagMillis
        while (reports.size > 1 && reports[1].first <= known) reports.removeFirst()
        return reports.first().second
    }

    /** Carries out an order; false when it is refused for an old fencing number. */
    public fun order(fencing: Long, what: String): Boolean {
        if (server.honoursFencing && fencing < highestFencing) return false
        highestFencing = maxOf(highestFencing, fencing)
        orders += fencing to what
        return true
    }

    /** Exports the state of a running stream; null when there is none or the engine can't. */
    public fun exportKv(request: RequestId): String? =
        streams[request]?.takeIf { kvTransfer && isUp }?.let { "${it.done}:${it.prompt}" }

    /** Takes in an exported state, so that a resume computes nothing again. */
    public fun importKv(handle: String): Boolean {
        if (!kvTransfer || !isUp) return false
        cache[handle.substringAfter(':')] = handle.substringBefore(':').toIntOrNull() ?: return false
        return true
    }

    override suspend fun run(call: BackendCall, served: ServedCall, connection: ServerConnection, breaksOff: Boolean) {
        val prompt = FakeText.parse(call.body)
        if (prompt == null || routeOf(call) != CHAT_PATH) {
            journal.add(ServerEvent.Refused(journal.now(), served, 400))
            answer(connection, 400, """{"error":{"message":"malformed request","type":"invalid_request_error"}}""")
            return
        }
        coroutineScope {
            val comments = launch {
                while (prompt.stream) {
                    delay(1.seconds)
                    awaitThawed()
                    connection.put(BackendEvent.KeepAlive)
                }
            }
            noteLoad()
            slots.withPermit {
                batch++
                try {
                    generate(call, served, connection, prompt, breaksOff)
                } finally {
                    batch--
                    streams.remove(call.request)
                }
            }
            comments.cancel()
        }
    }

    private suspend fun generate(
        call: BackendCall,
        served: ServedCall,
        connection: ServerConnection,
        prompt: FakeText.Prompt,
        breaksOff: Boolean,
    ) {
        journal.add(ServerEvent.Started(journal.now(), served))
        val id = "chatcmpl-${nextId++}"
        val whole = FakeText.tokens(prompt.text)
        val from = startPosition(whole, prompt)
        // A prefix that no engine generated gives another text, so that a wrong resume shows in the answer.
        val source = if (from >= 0) whole.drop(from) else FakeText.tokens(prompt.text + prompt.generated)
        val tokens = source.take(prompt.maxTokens)
        val offset = maxOf(from, 0)
        val stream = Stream(prompt.text, offset)
        streams[call.request] = stream
        prefill(call, prompt, offset)
        if (prompt.stream) deliver(connection, BackendEvent.Head(200, "text/event-stream"))
        for ((i, token) in tokens.withIndex()) {
            work(speed.tokenMillis * batchFactor() * slowness(call))
            if (breaksOff && i == tokens.size / 2) {
                journal.add(ServerEvent.Finished(journal.now(), served, 599))
                connection.put(BackendEvent.Broken(sent = true, detail = "stream broke off"))
                return
            }
            stream.done = offset + i + 1
            journal.add(ServerEvent.Token(journal.now(), served, offset + i))
            if (prompt.stream) deliver(connection, BackendEvent.Data(chunk(id, prompt, i + 1, token, null)))
        }
        val reason = if (tokens.size < source.size) "length" else "stop"
        journal.add(ServerEvent.Finished(journal.now(), served, 200))
        if (prompt.stream) {
            deliver(connection, BackendEvent.Data(chunk(id, prompt, tokens.size, null, reason)))
            if (prompt.usage) deliver(connection, BackendEvent.Data(chunk(id, prompt, tokens.size, null, null)))
            deliver(connection, BackendEvent.Data("[DONE]"))
            deliver(connection, BackendEvent.End)
        } else {
            answer(connection, 200, completion(id, prompt, tokens, reason))
        }
    }

    /** The position at which a resume goes on; -1 when the prefix is not a prefix of the answer. */
    private fun startPosition(whole: List<String>, prompt: FakeText.Prompt): Int {
        var length = 0
        for (i in 0..whole.size) {
            if (length == prompt.generated.length) {
                return if (whole.take(i).joinToString("") == prompt.generated) i else -1
            }
            if (i < whole.size) length += whole[i].length
        }
        return -1
    }

    private suspend fun prefill(call: BackendCall, prompt: FakeText.Prompt, generated: Int) {
        val size = prompt.size
        val cached = cache[prompt.text]
        val again = if (cached == null) generated else maxOf(0, generated - cached)
        recomputedTokens += again + if (cached == null && generated > 0) size else 0
        val fresh = (if (cached == null) size else 0) + again
        val cold = 1 + (speed.coldFactor - 1) * (1 - warmth)
        work((speed.tokenMillis + fresh * speed.prefillTokenMillis) * cold * slowness(call))
        cache[prompt.text] = generated
    }

    private fun batchFactor(): Double = 1 + (speed.fullBatchFactor - 1) * batch / speed.slots

    private fun noteLoad() {
        val waiting = maxOf(0, inFlight - speed.slots)
        reports.addLast(journal.now() to EngineLoad(inFlight - waiting, waiting, cache.size))
        while (reports.size > MAX_REPORTS) reports.removeFirst()
    }

    /** A chunk; [token] and [reason] are null for the last one, which has only the token counts. */
    private fun chunk(id: String, prompt: FakeText.Prompt, tokens: Int, token: String?, reason: String?): String =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion.chunk")
            put("created", journal.now() / 1_000)
            put("model", version.value)
            putJsonArray("choices") {
                if (token != null || reason != null) {
                    addJsonObject {
                        put("index", 0)
                        putJsonObject("delta") {
                            if (tokens == 1) put("role", "assistant")
                            if (token != null) put("content", token)
                        }
                        if (reason == null) put("finish_reason", JsonNull) else put("finish_reason", reason)
                    }
                }
            }
            val isLast = token == null && reason == null
            if (isLast || prompt.continuousUsage) putUsage(prompt, tokens)
        }.toString()

    private fun completion(id: String, prompt: FakeText.Prompt, tokens: List<String>, reason: String): String =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion")
            put("created", journal.now() / 1_000)
            put("model", version.value)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("message") {
                        put("role", "assistant")
                        put("content", tokens.joinToString(""))
                    }
                    put("finish_reason", reason)
                }
            }
            putUsage(prompt, tokens.size)
        }.toString()

    private fun JsonObjectBuilder.putUsage(prompt: FakeText.Prompt, tokens: Int) {
        putJsonObject("usage") {
            put("prompt_tokens", prompt.size)
            put("completion_tokens", tokens)
            put("total_tokens", prompt.size + tokens)
        }
    }

    public companion object {
        /** The only route that a stand-in engine serves to callers. */
        public const val CHAT_PATH: String = "/v1/chat/completions"
        private const val MAX_REPORTS = 256
    }
}
