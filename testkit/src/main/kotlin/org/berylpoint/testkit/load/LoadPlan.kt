package org.berylpoint.testkit.load

/** What a load run sends, and to which entry instances. */
public data class LoadPlan(
    val entries: List<EntryAddress>,
    val seconds: Int = 20,
    val chatsPerSecond: Double = 8.0,
    val bookingsPerSecond: Double = 5.0,
    /** Longest answer of a chat, in tokens. */
    val maxTokens: Int = 150,
    val deadlineMillis: Long = 20_000,
    val workspaces: List<String> = listOf("members", "branches"),
    val chatClass: String = "chat",
    val bookingClass: String = "booking",
    val seed: Int = 1,
)

/** The two listeners of an entry instance, as in `http://127.0.0.1:7500`. */
public data class EntryAddress(val callers: String, val admin: String)
