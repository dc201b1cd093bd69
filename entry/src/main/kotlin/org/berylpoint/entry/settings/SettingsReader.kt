package org.berylpoint.entry.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.raise.nullable
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.apache.commons.configuration2.ex.ConfigurationException
import org.berylpoint.model.FailureDomain
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads one settings file and collects its faults; paths in it are relative to [directory]. */
internal class SettingsReader(private val name: String, private val directory: File) {
    private val faults = mutableListOf<SettingFault>()
    private var ini = IniFile(emptyList(), emptyList())

    fun read(file: File): Either<NonEmptyList<SettingFault>, NodeSettings> {
        val text = try {
            file.readText()
        } catch (e: IOException) {
            return fail("file", e.message.orEmpty())
        }
        return read(text)
    }

    fun read(text: String): Either<NonEmptyList<SettingFault>, NodeSettings> {
        ini = try {
            IniFile.parse(text)
        } catch (e: ConfigurationException) {
            return fail("file", e.message.orEmpty())
        }
        refuseUnknown()
        val settings = settings()
        return faults.sortedBy { it.line }.toNonEmptyListOrNull()?.left()
            ?: checkNotNull(settings) { "a settings file without faults gave no settings" }.right()
    }

    private fun fail(key: String, value: String): Either<NonEmptyList<SettingFault>, Nothing> {
        fault(0, key, value, "a readable INI file")
        return checkNotNull(faults.toNonEmptyListOrNull()).left()
    }

    private fun refuseUnknown() {
        val known = SettingKeys.all.groupBy { it.section }
        ini.sections.filter { it.name !in known }.forEach {
            fault(it.line, "section", "[${it.name}]", "one of " + known.keys.joinToString { name -> "[$name]" })
        }
        ini.sections.groupBy { it.name }.values.filter { it.size > 1 }.forEach { same ->
            fault(
                same[1].line,
                "section",
                "[${same[1].name}]",
                "one section of this name; the first is on line ${same[0].line}",
            )
        }
        ini.entries.filter { it.section.isEmpty() }.forEach { fault(it.line, it.key, it.value, "a section above it") }
        ini.entries.forEach { entry ->
            val names = known[entry.section]?.map { it.name } ?: return@forEach
            if (entry.key !in names) {
                fault(
                    entry.line,
                    "[${entry.section}] ${entry.key}",
                    entry.value,
                    "one of the keys ${names.joinToString()}",
                )
            }
        }
        ini.entries.groupBy { it.section to it.key }.values.filter { it.size > 1 }.forEach { same ->
            val second = same[1]
            fault(
                second.line,
                "[${second.section}] ${second.key}",
                second.value,
                "one key of this name; the first " +
                    "is on line ${same[0].line}",
            )
        }
    }

    /** Null only if a fault was noted. */
    private fun settings(): NodeSettings? {
        val instance = instance()
        val peers = peers()
        val platform = platform(instance?.failureDomain)
        val token = operatorToken()
        val limits = limits()
        val log = log()
        return nullable {
            NodeSettings(
                instance.bind(),
                peers.bind(),
                platform.bind(),
                token.bind(),
                limits.bind(),
                log.bind(),
            )
        }
    }

    private fun instance(): InstanceSettings? {
        val id = value(SettingKeys.id)
        val domain = value(SettingKeys.failureDomain)
        val peer = value(SettingKeys.peerAddress)
        val caller = value(SettingKeys.callerAddress)
        val admin = value(SettingKeys.adminAddress)
        val drain = value(SettingKeys.drainSeconds)
        refuseClashes(
            listOfNotNull(
                peer?.let { SettingKeys.peerAddress to it },
                caller?.let { SettingKeys.callerAddress to it },
                admin?.let { SettingKeys.adminAddress to it },
            ),
        )
        return nullable {
            InstanceSettings(
                id.bind(),
                FailureDomain(domain.bind()),
                peer.bind(),
                caller.bind(),
                admin.bind(),
                drain.bind().seconds,
            )
        }
    }

    private fun refuseClashes(listeners: List<Pair<SettingKey<SocketAddress>, SocketAddress>>) {
        listeners.forEachIndexed { index, (key, address) ->
            val other = listeners.take(index).firstOrNull { (_, it) ->
                it.port == address.port && (it.host == address.host || it.isWildcard || address.isWildcard)
            }
            if (other != null) fault(lineOf(key), "$key", "$address", "a port that ${other.first} does not use")
        }
    }

    private fun peers(): PeerSettings? {
        val seeds = value(SettingKeys.seeds)
        val path = value(SettingKeys.sharedKeyFile)
        val keys = path?.let { lines(SettingKeys.sharedKeyFile, it) } ?: return null
        val isUsable = keys.size in 1..2 && keys.all { it.length >= MIN_KEY_LENGTH } && keys.distinct() == keys
        if (!isUsable) {
            val expected = "one or two different keys, of $MIN_KEY_LENGTH characters or more each"
            fault(lineOf(SettingKeys.sharedKeyFile), "${SettingKeys.sharedKeyFile}", path, expected)
            return null
        }
        return PeerSettings(seeds ?: return null, Secret(keys[0]), keys.getOrNull(1)?.let(::Secret))
    }

    private fun platform(domain: FailureDomain?): PlatformSettings? {
        val table = service(SettingKeys.tableAddress, SettingKeys.tableTimeoutMillis)
        val tableName = value(SettingKeys.tableName)
        val objects = service(SettingKeys.objectsAddress, SettingKeys.objectsTimeoutMillis)
        val bucket = value(SettingKeys.bucket)
        val instances = service(SettingKeys.instancesAddress, SettingKeys.instancesTimeoutMillis)
        val cloud = service(SettingKeys.cloudAddress, SettingKeys.cloudTimeoutMillis)
        val project = value(SettingKeys.project)
        val zones = value(SettingKeys.zones)
        val weights = service(SettingKeys.weightsAddress, SettingKeys.weightsTimeoutMillis)
        return nullable {
            PlatformSettings(
                table.bind(),
                tableName.bind(),
                objects.bind(),
                bucket.bind(),
                instances.bind(),
                cloud,
                project.bind(),
                zones.bind().map(::FailureDomain).ifEmpty { listOfNotNull(domain) },
                weights,
            )
        }
    }

    private fun service(address: SettingKey<String>, timeout: SettingKey<Long>): ServiceSettings? {
        val url = value(address)
        val millis = value(timeout)
        return nullable {
            ServiceSettings(url.bind(), millis.bind().milliseconds)
        }
    }

    private fun operatorToken(): Secret? {
        val path = value(SettingKeys.tokenFile)
        val token = value(SettingKeys.token)
        if ((path == null) == (token == null)) {
            val given = if (token == null) "absent" else "[hidden]"
            fault(lineOf(SettingKeys.token), "${SettingKeys.token}", given, "either token-file or token")
            return null
        }
        val key = if (path == null) SettingKeys.token else SettingKeys.tokenFile
        val text =
            token ?: path?.let { lines(SettingKeys.tokenFile, it) }?.let { it.firstOrNull().orEmpty() } ?: return null
        if (text.length < MIN_TOKEN_LENGTH) {
            fault(lineOf(key), "$key", path ?: "[hidden]", "a token of $MIN_TOKEN_LENGTH characters or more")
            return null
        }
        return Secret(text)
    }

    private fun limits(): LimitSettings? {
        val body = value(SettingKeys.bodyBytes)
        val header = value(SettingKeys.headerBytes)
        val connections = value(SettingKeys.connections)
        return nullable {
            LimitSettings(
                body.bind().toInt(),
                header.bind().toInt(),
                connections.bind().toInt(),
            )
        }
    }

    private fun log(): LogSettings? {
        val format = value(SettingKeys.logFormat)
        val level = value(SettingKeys.logLevel)
        return nullable {
            LogSettings(format.bind(), level.bind())
        }
    }

    private fun lines(key: SettingKey<String>, path: String): List<String>? = try {
        directory.resolve(path).readLines().map { it.trim() }.filter { it.isNotEmpty() }
    } catch (e: IOException) {
        fault(lineOf(key), "$key", path, "a file that can be read (${e::class.simpleName})")
        null
    }

    /** The value of [key], its default, or null when it is absent or was refused. */
    private fun <T> value(key: SettingKey<T>): T? {
        val entry = entryOf(key)
        val text = entry?.value ?: key.default
        if (text == null) {
            if (key.isRequired) fault(0, "$key", "absent", key.type.description)
            return null
        }
        return key.type.parse(text).fold({ fault(entry?.line ?: 0, "$key", text, it) }, { it })
    }

    private fun entryOf(key: SettingKey<*>) = ini.entries.firstOrNull {
        it.section == key.section && it.key == key.name
    }

    private fun lineOf(key: SettingKey<*>): Int = entryOf(key)?.line ?: 0

    private fun fault(line: Int, key: String, value: String, expected: String): Nothing? {
        faults += SettingFault(name, line, key, value, expected)
        return null
    }

    private companion object {
        /** 128 bits in hexadecimal. */
        const val MIN_KEY_LENGTH = 32
        const val MIN_TOKEN_LENGTH = 16
    }
}
