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
        /** Reads the settings file; the left value lists all faults in it. */
        public fun read(file: File): Either<NonEmptyList<SettingFault>, NodeSettings> =
            SettingsReader(file.path, file.absoluteFile.parentFile).read(file)
    }
}

/** Section `instance`: name, failure domain and listeners of the instance. */
public data class InstanceSettings(
    /** The same after a restart; [uniqueId] derives the id of a process from it. */
    val id: String,
    val failureDomain: FailureDomain,
    val peerAddress: SocketAddress,
    val callerAddress: SocketAddress,
    val adminAddress: SocketAddress,
    val drainTimeout: Duration,
) {
    /** Instance id of one process: [id] with a [suffix] that differs at each start. */
    public fun uniqueId(suffix: String): InstanceId = InstanceId("$id-$suffix")
}

/** Section `peers`: how the instance discovers and authenticates other entry instances. */
public data class PeerSettings(val seeds: List<SocketAddress>, val currentKey: Secret, val previousKey: Secret?)

/** Section `platform`: addresses and timeouts of the platform's services. */
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

/** Base address of a platform service and the timeout of calls to it. */
public data class ServiceSettings(val address: String, val timeout: Duration)

/** Section `limits`: limits on callers' requests and connections. */
public data class LimitSettings(val maxBodyBytes: Int, val maxHeaderBytes: Int, val maxConnections: Int)

/** Section `log`. */
public data class LogSettings(val format: LogFormat, val level: LogLevel)

/** Format of log lines. */
public enum class LogFormat { TEXT, JSON }

/** Minimum level of log lines. */
public enum class LogLevel { TRACE, DEBUG, INFO, WARN, ERROR }
