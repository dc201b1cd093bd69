package org.berylpoint.entry.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.apache.commons.configuration2.ex.ConfigurationException
import org.berylpoint.model.FailureDomain
import org.berylpoint.policy.quota.CapTolerance
import org.berylpoint.policy.rollout.ExposureBounds
import java.io.File
import java.io.IOException

/** Settings of an entry instance that runs on the operators' platform (the command `serve`). */
public data class GatewaySettings(
    val instance: String,
    val failureDomain: FailureDomain,
    val callerAddress: SocketAddress,
    val readyAddress: SocketAddress,
    val reportAddress: SocketAddress,
    val metricsAddress: SocketAddress,
    /** Time from SIGTERM to SIGKILL. */
    val graceSeconds: Long,
    /** IP address and port. */
    val storeAddress: String,
    /** IP address and port of the cloud API; null on an instance that must not perform any duty. */
    val cloudAddress: String?,
    /** Whether this is the first start of the whole deployment. */
    val isFirstStart: Boolean,
    val bounds: GatewayBounds,
) {
    public companion object {
        /** Reads an INI file; the left value lists all faults in it. */
        public fun read(file: File): Either<List<SettingFault>, GatewaySettings> {
            val ini = try {
                IniFile.parse(file.readText().removePrefix("\uFEFF"))
            } catch (e: IOException) {
                return listOf(
                    SettingFault(file.path, 0, "the file", file.path, "a readable file (${e.message})"),
                ).left()
            } catch (e: ConfigurationException) {
                return listOf(SettingFault(file.path, 0, "the file", file.path, "INI (${e.message})")).left()
            }
            return GatewaySettingsReader(file.path, ini).read()
        }
    }
}

/** Limits and windows that the platform's operators set. */
public data class GatewayBounds(
    /** Minimum time between two actions of one holder of a duty if another holder acts in between. */
    val leaseMillis: Long,
    val usageWindowMillis: Long,
    /** Time after the end of a usage window within which its usage must be reported. */
    val usageLateMillis: Long,
    /** Maximum ratio of a service's retries to its requests, in each window of [retryWindowMillis]. */
    val retryRatio: Double,
    val retrySlack: Double,
    val retryWindowMillis: Long,
    val capTolerance: CapTolerance,
    /** Time after a server's departure in which requests may still reach it. */
    val drainMillis: Long = DEFAULT_CHANGE_MILLIS,
    /** Time within which a configuration has to be in force. */
    val configMillis: Long = DEFAULT_CHANGE_MILLIS,
    /** Requests that a version may get until the time of its rollout is over. */
    val rollout: ExposureBounds = ExposureBounds.DEFAULT,
) {
    /** Time within which any change in the store has to be in force. */
    val changeMillis: Long get() = minOf(drainMillis, configMillis)

    /** These bounds with the given ones in place of their own. */
    public fun withChangeBounds(drainMillis: Long?, configMillis: Long?): GatewayBounds =
        copy(drainMillis = drainMillis ?: this.drainMillis, configMillis = configMillis ?: this.configMillis)

    /** These bounds with the given ones of rollouts in place of their own. */
    public fun withRolloutBounds(share: Double?, slack: Double?): GatewayBounds =
        copy(rollout = ExposureBounds(share ?: rollout.share, slack ?: rollout.slack))

    public companion object {
        /** Used where neither the settings nor the command line names a bound. */
        public const val DEFAULT_CHANGE_MILLIS: Long = 2_000
    }
}

private class GatewaySettingsReader(private val file: String, private val ini: IniFile) {
    private val faults = mutableListOf<SettingFault>()
    private val knownKeys = mutableSetOf<Pair<String, String>>()

    fun read(): Either<List<SettingFault>, GatewaySettings> {
        val instance = required("instance", "id", SettingType.name)
        val domain = required("instance", "failure-domain", SettingType.name)
        val caller = required("instance", "caller-address", SettingType.dialAddress)
        val ready = required("instance", "ready-address", SettingType.dialAddress)
        val report = required("instance", "report-address", SettingType.dialAddress)
        val metrics = required("instance", "metrics-address", SettingType.dialAddress)
        val grace = optional("instance", "grace-seconds", NON_NEGATIVE_NUMBER)?.toLong() ?: DEFAULT_GRACE_SECONDS
        val store = required("platform", "store-address", SettingType.dialAddress)
        val cloud = optional("platform", "cloud-address", SettingType.dialAddress)
        val isFirstStart = optional("platform", "first-start", BOOLEAN) ?: false
        val bounds = bounds()
        reportUnknownKeys()
        if (faults.isNotEmpty()) return faults.left()
        return GatewaySettings(
            instance = instance!!,
            failureDomain = FailureDomain(domain!!),
            callerAddress = caller!!,
            readyAddress = ready!!,
            reportAddress = report!!,
            metricsAddress = metrics!!,
            graceSeconds = grace,
            storeAddress = store!!.toString(),
            cloudAddress = cloud?.toString(),
            isFirstStart = isFirstStart,
            bounds = bounds,
        ).right()
    }

    private fun reportUnknownKeys() {
        for (entry in ini.entries) {
            if (entry.section to entry.key in knownKeys) continue
            val key = "[${entry.section}] ${entry.key}"
            faults += SettingFault(file, entry.line, key, entry.value, "a key of docs/platform.md")
        }
    }

    private fun bounds() = GatewayBounds(
        leaseMillis = bound("lease-millis", 3_000.0).toLong(),
        usageWindowMillis = secondsAsMillis("usage-window-seconds", 5.0),
        usageLateMillis = secondsAsMillis("usage-late-seconds", 10.0),
        retryRatio = bound("retry-ratio", 0.1),
        retrySlack = bound("retry-slack", 10.0),
        retryWindowMillis = secondsAsMillis("retry-window-seconds", 10.0),
        capTolerance = CapTolerance(
            windowMillis = secondsAsMillis("cap-window-seconds", 8.0),
            overRatio = bound("cap-over", 0.0),
            slack = bound("cap-slack", 0.0),
        ),
        drainMillis = bound("drain-millis", GatewayBounds.DEFAULT_CHANGE_MILLIS.toDouble()).toLong(),
        configMillis = bound("config-millis", GatewayBounds.DEFAULT_CHANGE_MILLIS.toDouble()).toLong(),
        rollout = ExposureBounds(
            share = optional("bounds", "rollout-share", FRACTION) ?: ExposureBounds.DEFAULT.share,
            slack = bound("rollout-slack", ExposureBounds.DEFAULT.slack),
        ),
    )

    /** Reads a key of the section `bounds`, whose value may have a fraction. */
    private fun bound(name: String, default: Double): Double = optional("bounds", name, NON_NEGATIVE_NUMBER) ?: default

    private fun secondsAsMillis(name: String, default: Double): Long =
        (bound(name, default) * MILLIS_PER_SECOND).toLong()

    private fun <T> required(section: String, name: String, type: SettingType<T>): T? {
        val value = optional(section, name, type)
        if (value == null && rawValue(section, name).isNullOrEmpty()) {
            faults += SettingFault(file, 0, "[$section] $name", "absent", type.description)
        }
        return value
    }

    private fun <T> optional(section: String, name: String, type: SettingType<T>): T? {
        knownKeys += section to name
        val entry = ini.entries.firstOrNull { it.section == section && it.key == name } ?: return null
        if (entry.value.isEmpty()) return null
        return type.parse(entry.value).fold(
            ifLeft = { expected ->
                faults += SettingFault(file, entry.line, "[$section] $name", entry.value, expected)
                null
            },
            ifRight = { it },
        )
    }

    private fun rawValue(section: String, name: String): String? =
        ini.entries.firstOrNull { it.section == section && it.key == name }?.value

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
        const val DEFAULT_GRACE_SECONDS = 8L
        val BOOLEAN = SettingType("true or false") { it.toBooleanStrictOrNull() }
        val FRACTION = SettingType("a number from 0 to 1") { it.toDoubleOrNull()?.takeIf { n -> n in 0.0..1.0 } }
        val NON_NEGATIVE_NUMBER = SettingType("a number of 0 or more") { it.toDoubleOrNull()?.takeIf { n -> n >= 0 } }
    }
}
