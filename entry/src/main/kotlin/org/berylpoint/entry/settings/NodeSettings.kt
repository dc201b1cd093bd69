package org.berylpoint.entry.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import org.berylpoint.model.FailureDomain
import org.berylpoint.model.InstanceId
import java.io.File
import kotlin.time.Duration

/**
 * The settings of one entry instance, read from an INI file.
 *
 * `docs/settings.md` lists all keys.
 */
public data class NodeSettings(
    val instance: InstanceSettings,
    val peers: PeerSettings,
    val platform: PlatformSettings,
    val operatorToken: Secret,
    val limits: LimitSettings,
    val log: LogSettings,
) {
    public companion object {
        /** Reads the settings file, or gives all its faults at once. */
        public fun read(file: File): Either<NonEmptyList<SettingFault>, NodeSettings> =
            SettingsReader(file.path, file.absoluteFile.parentFile).read(file)
    }
}

/** Section `instance`: name, place and listeners of the instance. */
public data class InstanceSettings(
    /** Not yet unique over restarts; see [uniqueId]. */
    val id: String,
    val failureDomain: FailureDomain,
    val peerAddress: SocketAddress,
    val callerAddress: SocketAddress,
    val adminAddress: SocketAddress,
    val drainTimeout: Duration,
) {
    /** The instance id of one process: [id] and a [suffix] that differs at each start. */
    public fun uniqueId(suffix: String): InstanceId = InstanceId("$id-$suffix")
}

/** Section `peers`: how the instance finds and authenticates the others. */
public data class PeerSettings(val seeds: List<SocketAddress>, val currentKey: Secret, val previousKey: Secret?)

/** Section `platform`: the platform's services. */
public data class PlatformSettings(
    val table: ServiceSettings,
    val tableName: String,
    val objects: ServiceSettings,
    val bucket: String,
    val instances: ServiceSettings,
    val cloud: ServiceSettings?,
    val project: String,
    val zones: List<FailureDomain>,
    val weights: ServiceSettings?,
)

/** One service of the platform: its base address and the longest wait for its answers. */
public data class ServiceSettings(val address: String, val timeout: Duration)

/** Section `limits`: bounds on what callers may send. */
public data class LimitSettings(val maxBodyBytes: Int, val maxHeaderBytes: Int, val maxConnections: Int)

/** Section `log`. */
public data class LogSettings(val format: LogFormat, val level: LogLevel)

/** Format of log lines. */
public enum class LogFormat { TEXT, JSON }

/** Least severe level that is logged. */
public enum class LogLevel { TRACE, DEBUG, INFO, WARN, ERROR }
