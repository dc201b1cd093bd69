package org.berylpoint.ctl

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.berylpoint.model.Catalogue
import org.berylpoint.model.CatalogueChange
import org.berylpoint.model.CatalogueUpdate
import org.berylpoint.model.InstanceId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A command that commits a catalogue update and may wait until all instances have confirmed it. */
internal abstract class ChangeCommand(name: String, text: String, examples: List<String>) :
    ReportingCommand(name, text, examples) {
    private val expect by option(
        "--expect",
        metavar = "VERSION",
        help = "Refuse unless the catalogue has this " +
            "version.",
    )
        .long()
    private val wait by option("--wait", help = "Wait until every known instance has confirmed the change.").flag()
    private val waitSeconds by option(
        "--wait-seconds",
        help = "Longest wait of --wait (default: " +
            "10).",
    ).int().default(10)
    private val author by option(
        "--author",
        envvar = "USER",
        help = "Who makes the change, for the " +
            "record.",
    ).default("")

    /** Commits what [changes] makes of the catalogue in force; without changes, reports that there are none. */
    protected fun commit(fileVersion: Long? = null, changes: (Catalogue) -> List<CatalogueChange>) {
        val catalogue = client.catalogue().orFail()
        val wanted = changes(catalogue)
        if (wanted.isEmpty()) {
            // A repeat after a wait that was too short waits again.
            val unconfirmed = if (wait) awaitInForce(catalogue.version) else emptyList()
            report(result(catalogue.version, false, unconfirmed)) { "no change, version ${catalogue.version} has it" }
            return
        }
        val expected = expect ?: fileVersion ?: catalogue.version
        val version = client.submit(CatalogueUpdate(expected, wanted, author)).orFail()
        val unconfirmed = if (wait) awaitInForce(version) else emptyList()
        report(result(version, true, unconfirmed)) {
            if (wait) "version $version is in force on every known instance" else "version $version is accepted"
        }
    }

    private fun result(version: Long, isChanged: Boolean, unconfirmed: List<InstanceId>) = buildJsonObject {
        put("version", version)
        put("changed", isChanged)
        if (wait) put("unconfirmed", encode(unconfirmed))
    }

    private fun awaitInForce(version: Long): List<InstanceId> {
        val start = session.time.markNow()
        while (true) {
            val status = client.status(ask = true).orFail()
            val late = status.instances.filter { it.catalogueVersion < version }.map { it.instance.id }
            if (late.isEmpty()) return late
            if (start.elapsedNow() >= waitSeconds.seconds) {
                val names = late.joinToString()
                fail(CallFailure(ExitCode.NOT_IN_FORCE, "version $version is accepted, not yet confirmed by: $names"))
            }
            session.pause(WAIT_INTERVAL)
        }
    }

    private companion object {
        /** Half a heartbeat interval, in which a late instance learns of the version at the latest. */
        val WAIT_INTERVAL = 250.milliseconds
    }
}
