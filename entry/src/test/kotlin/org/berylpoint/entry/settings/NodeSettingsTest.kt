package org.berylpoint.entry.settings

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import org.berylpoint.model.FailureDomain
import java.io.File
import kotlin.time.Duration.Companion.seconds

private const val KEY = "0123456789abcdef0123456789abcdef"

private val validSettings = """
    |# entry instance of muc-a
    |[instance]
    |id = muc-a-1
    |failure-domain = muc-a
    |peer-address = 10.0.0.1:7400
    |[peers]
    |seeds = 10.0.0.2:7400, 10.0.0.3:7400
    |shared-key-file = peer.key
    |[platform]
    |table-address = http://10.0.1.1:8000
    |objects-address = http://10.0.1.2:9000
    |instances-address = http://10.0.1.3:8100
    |[operator]
    |token = 0123456789abcdef
""".trimMargin()

/** Each row guards against a process that starts with invalid or ambiguous settings instead of refusing them. */
class NodeSettingsTest :
    FunSpec({
        val directory = tempdir()
        File(directory, "peer.key").writeText("$KEY\n")
        File(directory, "rotation.key").writeText("${KEY}1\n$KEY\n")
        File(directory, "short.key").writeText("abc\n")
        File(directory, "three.key").writeText("${KEY}1\n${KEY}2\n${KEY}3\n")
        File(directory, "token").writeText("fedcba9876543210\n")

        fun read(text: String) = SettingsReader("node.ini", directory).read(text)

        fun settings(text: String) = read(text).fold({ error(it.joinToString("\n")) }, { it })

        fun faults(text: String) = read(text).fold({ all -> all.map { it.toString() } }, { emptyList() })

        test("absent keys get their defaults") {
            val settings = settings(validSettings)
            settings.instance.failureDomain shouldBe FailureDomain("muc-a")
            settings.instance.callerAddress shouldBe SocketAddress("0.0.0.0", 8080)
            settings.instance.drainTimeout shouldBe 30.seconds
            settings.peers.seeds.map { it.toString() } shouldBe listOf("10.0.0.2:7400", "10.0.0.3:7400")
            settings.peers.previousKey shouldBe null
            settings.platform.table shouldBe ServiceSettings("http://10.0.1.1:8000", 2.seconds)
            settings.platform.cloud shouldBe null
            settings.platform.zones shouldBe listOf(FailureDomain("muc-a"))
            settings.limits shouldBe LimitSettings(1_048_576, 16_384, 4_096)
            settings.log shouldBe LogSettings(LogFormat.TEXT, LogLevel.INFO)
        }

        test("every default is a valid value") {
            SettingKeys.all.filter { it.default != null }.forEach { key ->
                withClue(key) { key.type.parse(key.default.orEmpty()).isRight() shouldBe true }
            }
        }

        test("a key file with two lines gives the current and the previous key") {
            val peers = settings(validSettings.replace("peer.key", "rotation.key")).peers
            peers.currentKey.reveal() shouldBe "${KEY}1"
            peers.previousKey?.reveal() shouldBe KEY
        }

        test("a token file replaces the token") {
            val settings = settings(validSettings.replace("token = 0123456789abcdef", "token-file = token"))
            settings.operatorToken.reveal() shouldBe "fedcba9876543210"
        }

        test("toString of the settings, which may be logged, contains no keys or tokens") {
            settings(validSettings).toString().let {
                it shouldNotContain KEY
                it shouldNotContain "0123456789abcdef"
            }
        }

        val ports = "an IP number and a port, as in 127.0.0.1:7400"
        val rows = listOf(
            Triple(
                "an unknown key",
                "id = muc-a-1" to "id = muc-a-1\nname = x",
                "node.ini:4: [instance] name is 'x', expected one of the keys id, failure-domain, peer-address, " +
                    "caller-address, admin-address, drain-seconds",
            ),
            Triple(
                "a key without its unit",
                "id = muc-a-1" to "id = muc-a-1\ndrain = 30",
                "node.ini:4: [instance] drain is '30', expected one of the keys id, failure-domain, peer-address, " +
                    "caller-address, admin-address, drain-seconds",
            ),
            Triple(
                "an unknown section",
                "[operator]" to "[raft]\nx = 1\n[operator]",
                "node.ini:13: section is '[raft]', expected one of [instance], [peers], [platform], [operator], " +
                    "[limits], [log]",
            ),
            Triple(
                "a section twice",
                "[operator]" to "[peers]\n[operator]",
                "node.ini:13: section is '[peers]', expected one section of this name; the first is on line 6",
            ),
            Triple(
                "a key above all sections",
                "# entry" to "level = info\n# entry",
                "node.ini:1: level is 'info', expected a section above it",
            ),
            Triple(
                "a key twice",
                "id = muc-a-1" to "id = muc-a-1\nid = muc-a-2",
                "node.ini:4: [instance] id is 'muc-a-2', expected one key of this name; the first is on line 3",
            ),
            Triple(
                "a missing key",
                "failure-domain = muc-a\n" to "",
                "node.ini: [instance] failure-domain is 'absent', expected 1 to 63 of a-z, 0-9, '.' and '-'",
            ),
            Triple(
                "an empty key",
                "failure-domain = muc-a" to "failure-domain =",
                "node.ini:4: [instance] failure-domain is '', expected 1 to 63 of a-z, 0-9, '.' and '-'",
            ),
            Triple(
                "a value with a unit",
                "[operator]" to "table-timeout-millis = 2s\n[operator]",
                "node.ini:13: [platform] table-timeout-millis is '2s', expected a whole number of milliseconds " +
                    "from 100 to 30000",
            ),
            Triple(
                "a number with a fraction",
                "[operator]" to "table-timeout-millis = 250.5\n[operator]",
                "node.ini:13: [platform] table-timeout-millis is '250.5', expected a whole number of milliseconds " +
                    "from 100 to 30000",
            ),
            Triple(
                "a number below its range",
                "[operator]" to "table-timeout-millis = 1\n[operator]",
                "node.ini:13: [platform] table-timeout-millis is '1', expected a whole number of milliseconds from " +
                    "100 to 30000",
            ),
            Triple(
                "a number that exceeds a Long",
                "[operator]" to "table-timeout-millis = 99999999999999999999\n[operator]",
                "node.ini:13: [platform] table-timeout-millis is '99999999999999999999', expected a whole number " +
                    "of milliseconds from 100 to 30000",
            ),
            Triple(
                "a host name",
                "10.0.0.1:7400" to "entry-1:7400",
                "node.ini:5: [instance] peer-address is 'entry-1:7400', expected an IP number other than 0.0.0.0 " +
                    "or [::], and a port, as in 10.0.0.1:7400",
            ),
            Triple(
                "a wildcard as a peer address",
                "10.0.0.1:7400" to "0.0.0.0:7400",
                "node.ini:5: [instance] peer-address is '0.0.0.0:7400', expected an IP number other than 0.0.0.0 " +
                    "or [::], and a port, as in 10.0.0.1:7400",
            ),
            Triple(
                "an IP address out of range",
                "[peers]" to "caller-address = 10.0.0.256:80\n[peers]",
                "node.ini:6: [instance] caller-address is '10.0.0.256:80', expected $ports",
            ),
            Triple(
                "a port out of range",
                "[peers]" to "caller-address = 10.0.0.1:65536\n[peers]",
                "node.ini:6: [instance] caller-address is '10.0.0.1:65536', expected $ports",
            ),
            Triple(
                "no port",
                "[peers]" to "caller-address = 10.0.0.1\n[peers]",
                "node.ini:6: [instance] caller-address is '10.0.0.1', expected $ports",
            ),
            Triple(
                "one port for two listeners",
                "[peers]" to "caller-address = 0.0.0.0:7400\n[peers]",
                "node.ini:6: [instance] caller-address is '0.0.0.0:7400', expected a port that [instance] " +
                    "peer-address does not use",
            ),
            Triple(
                "a bad seed",
                "10.0.0.3:7400" to "10.0.0.3",
                "node.ini:7: [peers] seeds is '10.0.0.2:7400, 10.0.0.3', expected a comma-separated list of IP " +
                    "numbers with ports, or nothing",
            ),
            Triple(
                "an absent key file",
                "peer.key" to "none.key",
                "node.ini:8: [peers] shared-key-file is 'none.key', expected a file that can be read " +
                    "(FileNotFoundException)",
            ),
            Triple(
                "a short key",
                "peer.key" to "short.key",
                "node.ini:8: [peers] shared-key-file is 'short.key', expected one or two different keys, of 32 " +
                    "characters or more each",
            ),
            Triple(
                "three keys",
                "peer.key" to "three.key",
                "node.ini:8: [peers] shared-key-file is 'three.key', expected one or two different keys, of 32 " +
                    "characters or more each",
            ),
            Triple(
                "an address without its scheme",
                "http://10.0.1.1:8000" to "10.0.1.1:8000",
                "node.ini:10: [platform] table-address is '10.0.1.1:8000', expected http:// with an IP number and " +
                    "a port, as in http://10.0.0.9:8000",
            ),
            Triple(
                "a wildcard as a service address",
                "http://10.0.1.1:8000" to "http://0.0.0.0:8000",
                "node.ini:10: [platform] table-address is 'http://0.0.0.0:8000', expected http:// with an IP " +
                    "number and a port, as in http://10.0.0.9:8000",
            ),
            Triple(
                "no operator token",
                "token = 0123456789abcdef" to "",
                "node.ini: [operator] token is 'absent', expected either token-file or token",
            ),
            Triple(
                "a token and a token file",
                "[operator]" to "[operator]\ntoken-file = token",
                "node.ini:15: [operator] token is '[hidden]', expected either token-file or token",
            ),
            Triple(
                "a short token",
                "0123456789abcdef" to "short",
                "node.ini:14: [operator] token is '[hidden]', expected a token of 16 characters or more",
            ),
            Triple(
                "an unknown level",
                "[operator]" to "[log]\nlevel = loud\n[operator]",
                "node.ini:14: [log] level is 'loud', expected one of trace, debug, info, warn, error",
            ),
            Triple(
                "an unknown format",
                "[operator]" to "[log]\nformat = xml\n[operator]",
                "node.ini:14: [log] format is 'xml', expected one of text, json",
            ),
            Triple(
                "a reference to another value",
                "muc-a\n" to "\${env:HOME}\n",
                "node.ini:4: [instance] failure-domain is '\${env:HOME}', expected 1 to 63 of a-z, 0-9, '.' and '-'",
            ),
        )
        rows.forEach { (name, change, expected) ->
            test("$name is refused with its line") {
                faults(validSettings.replace(change.first, change.second)) shouldBe listOf(expected)
            }
        }

        test("one port on two IP addresses is accepted") {
            val address = "10.0.9.1:7400"
            settings(
                validSettings.replace("[peers]", "caller-address = $address\n[peers]"),
            ).instance.callerAddress.toString() shouldBe
                address
        }

        test("all faults are reported together in file order") {
            val invalid = validSettings.replace("id = muc-a-1", "id = X").replace("10.0.0.1:7400", "here")
                .replace("http://10.0.1.2:9000", "there")
            faults(invalid).map { it.substringBefore(" is ") } shouldBe listOf(
                "node.ini:3: [instance] id",
                "node.ini:5: [instance] peer-address",
                "node.ini:11: [platform] objects-address",
            )
        }

        test("a missing file is refused") {
            NodeSettings.read(File(directory, "absent.ini")).fold({ it.size }, { 0 }) shouldBe 1
        }

        test("docs/settings.md lists the keys of the code") {
            // After a change to SettingKeys, copy this generated file over docs/settings.md.
            File("target/settings.md").writeText(settingsPage())
            File("../docs/settings.md").readText() shouldBe settingsPage()
        }
    })
