package org.berylpoint.testkit.node

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.test.runTest
import org.berylpoint.peer.PeerMessage
import org.berylpoint.testkit.rig.Site
import org.berylpoint.testkit.rig.SitePlan
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class EntryNodeTest :
    FunSpec({
        test("a peer's FetchDump gets a response; guards against a message type without a handler in EntryNode") {
            runTest(timeout = 1.minutes) {
                val site = Site(this, seed = 1, SitePlan(instances = 2, engines = 1, plainServers = 1))
                site.startUp()
                val (a, b) = site.nodes
                val answer = a.machine.network.call(b.machine.instance.peerAddress, PeerMessage.FetchDump(), 2.seconds)
                answer.getOrNull().shouldBeInstanceOf<PeerMessage.DumpData>()
            }
        }
    })
