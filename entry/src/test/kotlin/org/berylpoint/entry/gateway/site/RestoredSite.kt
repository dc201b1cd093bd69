package org.berylpoint.entry.gateway.site

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.serving.ServiceName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Two instances in each of two domains, four servers and configuration 5 in a store of era 1. */
internal class RestoredSite(private val scope: TestScope) {
    val tables = FakeTables(scope, era = 1)
    val instances: FollowingInstances

    init {
        // More transactions than what follows, so that numbers are issued again.
        repeat(10) { tables.put("other", "k$it", ByteArray(0)) }
        repeat(4) { tables.put("servers", "s$it", FollowingInstances.server()) }
        tables.put("op", "config", FollowingInstances.config(5))
        instances = FollowingInstances(scope, tables, perDomain = 2)
    }

    /** The names of the instances of one domain. */
    val cutOff: List<String> get() = instances.all.filter { it.domain == "a" }.map { it.name }

    /**
     * Lets the instances read the store, takes a copy, does what is [written] after that, restores the copy 1 s later,
     * and does what is [rewritten] before any instance can call the store; returns 0.1 s later.
     */
    suspend fun run(
        clockStepMillis: Long = 0,
        written: FakeTables.() -> Unit = {},
        atRestore: FakeTables.() -> Unit = {},
        rewritten: FakeTables.() -> Unit = {},
    ) {
        delay(3.seconds)
        val backup = tables.backup()
        // So many that what is written again soon after the restore has lower numbers than before.
        repeat(LOST_WRITES) { tables.put("other", "k$it", ByteArray(0)) }
        tables.written()
        delay(1.seconds)
        tables.atRestore()
        tables.restore(backup, clockStepMillis)
        tables.rewritten()
        delay(100.milliseconds)
    }

    /** How many instances send requests to each of the servers [ids]. */
    fun usersOf(vararg ids: String): List<Int> = ids.map { id -> instances.all.count { it.uses(id) } }

    fun outOfService(): List<Set<String>> =
        instances.all.map { it.state.view.outOfServiceDomains.map(FailureDomain::name).toSet() }

    fun rollouts() = instances.all.map { it.state.view.rollouts.getValue(ServiceName("s")) }

    companion object {
        /** Time in which all instances have the rows of the newer era. */
        val CONVERGENCE_TIME = 1.seconds

        private const val LOST_WRITES = 20
    }
}
