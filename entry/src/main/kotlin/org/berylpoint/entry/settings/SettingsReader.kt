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

/** Reads a settings file and collects all its faults. Paths in the file are relative to [directory]. */
internal class SettingsReader(private val name: String, private val directory: File) {
    private val faults = mutableListOf<SettingFault>()
    private var ini = IniFile(emptyList(), emptyList())

    fun read(file: File): Either<NonEmptyList<SettingFault>, NodeSettings> {
        val text = try {
            file.readText()
        } catch (e: IOException) {
            return unreadable("file", e.message.orEmpty())
        }
        return read(text)
    }

    fun read(text: String): Either<NonEmptyList<SettingFault>, NodeSettings> {
        ini = try {
            IniFile.parse(text)
        } catch (e: ConfigurationException) {
            return unreadable("file", e.message.orEmpty())
        }
        reportUnknownAndDuplicateKeys()
        val settings = settings()
        return faults.sortedBy { it.line }.toNonEmptyListOrNull()?.left()
            ?: checkNotNull(settings) { "no settings although no fault was reported" }.right()
    }

    private fun unreadable(key: String, value: String): Either<NonEmptyList<SettingFault>, Nothing> {
        addFault(0, key, value, "a readable INI file")
        return checkNotNull(faults.toNonEmptyListOrNull()).left()
    }

    private fun reportUnknownAndDuplicateKeys() {
        val known = SettingKeys.all.groupBy { it.section }
        ini.sections.filter { it.name !in known }.forEach {
            addFault(it.line, "section", "[${it.name}]", "one of " + known.keys.joinToString { name -> "[$name]" })
        }
        ini.sections.groupBy { it.name }.values.filter { it.size > 1 }.forEach { duplicates ->
            addFault(
                duplicates[1].line,
                "section",
                "[${duplicates[1].name}]",
                "one section of this name; the first is on line ${duplicates[0].line}",
            )
        }
        ini.entries.filter { it.section.isEmpty() }.forEach {
            addFault(it.line, it.key, it.value, "a section above it")
        }
        ini.entries.forEach { entry ->
            val names = known[entry.section]?.map { it.name } ?: return@forEach
            if (entry.key !in names) {
                addFault(
                    entry.line,
                    "[${entry.section}] ${entry.key}",
                    entry.value,
                    "one of the keys ${names.joinToString()}",
                )
            }
        }
        ini.entries.groupBy { it.section to it.key }.values.filter { it.size > 1 }.forEach { duplicates ->
            val second = duplicates[1]
            addFault(
                second.line,
                "[${second.section}] ${second.key}",
                second.value,
                "one key of this name; the first " +
                    "is on line ${duplicates[0].line}",
            )
        }
    }

    /** Null only if a fault was reported. */
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
        reportPortConflicts(
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

    private fun reportPortConflicts(listeners: List<Pair<SettingKey<SocketAddress>, SocketAddress>>) {
        listeners.forEachIndexed { index, (key, address) ->
            val other = listeners.take(index).firstOrNull { (_, it) ->
                it.port == address.port && (it.host == address.host || it.isWildcard || address.isWildcard)
            }
            if (other != null) addFault(lineOf(key), "$key", "$address", "a port that ${other.first} does not use")
        }
    }

    private fun peers(): PeerSettings? {
        val seeds = value(SettingKeys.seeds)
        val path = value(SettingKeys.sharedKeyFile)
        val keys = path?.let { readLines(SettingKeys.sharedKeyFile, it) } ?: return null
        val isUsable = keys.size in 1..2 && keys.all { it.length >= MIN_KEY_LENGTH } && keys.distinct() == keys
        if (!isUsable) {
            val expected = "one or two different keys, of $MIN_KEY_LENGTH characters or more each"
            addFault(lineOf(SettingKeys.sharedKeyFile), "${SettingKeys.sharedKeyFile}", path, expected)
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
            addFault(lineOf(SettingKeys.token), "${SettingKeys.token}", given, "either token-file or token")
            return null
        }
        val key = if (path == null) SettingKeys.token else SettingKeys.tokenFile
        val text =
            token
                ?: path?.let { readLines(SettingKeys.tokenFile, it) }?.let { it.firstOrNull().orEmpty() }
                ?: return null
        if (text.length < MIN_TOKEN_LENGTH) {
            addFault(lineOf(key), "$key", path ?: "[hidden]", "a token of $MIN_TOKEN_LENGTH characters or more")
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

    private fun readLines(key: SettingKey<String>, path: String): List<String>? = try {
        directory.resolve(path).readLines().map { it.trim() }.filter { it.isNotEmpty() }
    } catch (e: IOException) {
        addFault(lineOf(key), "$key", path, "a file that can be read (${e::class.simpleName})")
        null
    }

    /** Value of [key] or its default; null if it is absent or, with a fault, invalid. */
    private fun <T> value(key: SettingKey<T>): T? {
        val entry = entryOf(key)
        val text = entry?.value ?: key.default
        if (text == null) {
            if (key.isRequired) addFault(0, "$key", "absent", key.type.description)
            return null
        }
        return key.type.parse(text).fold({ addFault(entry?.line ?: 0, "$key", text, it) }, { it })
    }

    private fun entryOf(key: SettingKey<*>) = ini.entries.firstOrNull {
        it.section == key.section && it.key == key.name
    }

    private fun lineOf(key: SettingKey<*>): Int = entryOf(key)?.line ?: 0

    private fun addFault(line: Int, key: String, value: String, expected: String): Nothing? {
        faults += SettingFault(name, line, key, value, expected)
        return null
    }

    private companion object {
        /** Length of 128 bits in hexadecimal. */
        const val MIN_KEY_LENGTH = 32
        const val MIN_TOKEN_LENGTH = 16
    }
}
