package org.berylpoint.testkit.standin

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import org.berylpoint.model.BackendServer
import org.berylpoint.model.BackendServerId
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.VersionName

/** Runs a stand-in backend server until it is stopped. */
internal class BackendServerCommand : CliktCommand(name = "backend-server") {
    private val kind by option(help = "what it serves").choice("engine", "plain").default("engine")
    private val id by option(help = "name of the server").required()
    private val domain by option(help = "failure domain").required()
    private val version by option(help = "version that it runs").default("v1")
    private val ip by option(help = "IP number to listen on").default("127.0.0.1")
    private val port by option(help = "port to listen on; 0 takes any free one").int().default(0)
    private val controlPort by option(help = "port of the control paths; 0 takes any free one").int().default(0)
    private val cold by option(help = "start cold").flag()
    private val tokenMillis by option(help = "time of one token of an engine").double().default(20.0)
    private val runMillis by option(help = "time of one call of a plain service").double().default(50.0)

    override fun run() {
        val server = BackendServer(BackendServerId(id), FailureDomain(domain), "http://$ip:$port")
        val speed = EngineSpeed(tokenMillis = tokenMillis)
        val standIn = when (kind) {
            "plain" -> PlainServer(server, VersionName(version), ip, port, controlPort, runMillis, !cold)
            else -> EngineServer(server, VersionName(version), ip, port, controlPort, speed, !cold)
        }
        standIn.start()
        echo("$kind $id listens on http://$ip:${standIn.port}, control on http://$ip:${standIn.controlPort}")
    }
}

public fun main(args: Array<String>): Unit = BackendServerCommand().main(args)
