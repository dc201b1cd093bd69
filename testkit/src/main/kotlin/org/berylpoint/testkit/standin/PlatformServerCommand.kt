package org.berylpoint.testkit.standin

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int

/** Runs the platform's stand-in until it is stopped. */
internal class PlatformServerCommand : CliktCommand(name = "platform-server") {
    private val ip by option(help = "IP number to listen on").default("127.0.0.1")
    private val port by option(help = "port to listen on; 0 takes any free one").int().default(0)

    override fun run() {
        val server = PlatformServer(ip, port).start()
        echo("platform stand-in listens on ${server.address}")
    }
}

public fun main(args: Array<String>): Unit = PlatformServerCommand().main(args)
