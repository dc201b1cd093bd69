package org.berylpoint.testkit.standin

import org.berylpoint.model.BackendServer
import org.berylpoint.model.VersionName
import kotlin.random.Random

/** A [FakePlainService] over HTTP. */
public class PlainServer(
    server: BackendServer,
    version: VersionName,
    host: String = "127.0.0.1",
    port: Int = 0,
    controlPort: Int = 0,
    runMillis: Double = 50.0,
    startsWarm: Boolean = true,
) : BackendHttpServer<FakePlainService>(host, port, controlPort) {
    override val core: FakePlainService =
        FakePlainService(server, version, journal, scope, Random.Default, runMillis, startsWarm = startsWarm)
}
