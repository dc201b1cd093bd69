package org.berylpoint.entry.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.apache.commons.configuration2.ex.ConfigurationException
import org.berylpoint.model.FailureDomain
import org.berylpoint.policy.quota.CapTolerance
import java.io.File
import java.io.IOException

/** Settings of an entry instance that serves on the operators' platform. */
public data class GatewaySettings(
    val instance: String,
    val domain: FailureDomain,
    val callerAddress: SocketAddress,
    val readyAddress: SocketAddress,
    val reportAddress: SocketAddress,
    val metricsAddress: SocketAddress,
    /** Time from SIGTERM to SIGKILL. */
    val graceSeconds: Long,
    /** IP number and port. */
    val storeAddress: String,
    /** IP number and port; null where no duty is to be done. */
    val cloudAddress: String?,
    /** Whether the whole site starts for the first time. */
    val isFirstStart: Boolean,
    val bounds: GatewayBounds,
) {
    public companion object {
        /** Reads an INI file, or gives every fault in it. */
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

/** Bounds that the platform's operators set. */
public data class GatewayBounds(
    /** Shortest time between acts of one holder of a duty, with another holder's act in between. */
    val leaseMillis: Long,
    val usageWindowMillis: Long,
    /** Time after the end of a window in which its usage is due. */
    val usageLateMillis: Long,
    /** Retries of a service over its requests, in each window of [retryWindowMillis]. */
    val retryRatio: Double,
    val retrySlack: Double,
    val retryWindowMillis: Long,
    val capTolerance: CapTolerance,
)

private class GatewaySettingsReader(private val file: String, private val ini: IniFile) {
    private val faults = mutableListOf<SettingFault>()
    private val known = mutableSetOf<Pair<String, String>>()

    fun read(): Either<List<SettingFault>, GatewaySettings> {
        val instance = required("instance", "id", SettingType.name)
        val domain = required("instance", "failure-domain", SettingType.name)
        val caller = required("instance", "caller-address", SettingType.dialAddress)
        val ready = required("instance", "ready-address", SettingType.dialAddress)
        val report = required("instance", "report-address", SettingType.dialAddress)
        val metrics = required("instance", "metrics-address", SettingType.dialAddress)
        val grace = optional("instance", "grace-seconds", DECIMAL)?.toLong() ?: DEFAULT_GRACE
        val store = required("platform", "store-address", SettingType.dialAddress)
        val cloud = optional("platform", "cloud-address", SettingType.dialAddress)
        val isFirstStart = optional("platform", "first-start", TRUTH) ?: false
        val bounds = bounds()
        refuseUnknownKeys()
        if (faults.isNotEmpty()) return faults.left()
        return GatewaySettings(
            instance = instance!!,
            domain = FailureDomain(domain!!),
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

    private fun refuseUnknownKeys() {
        for (entry in ini.entries) {
            if (entry.section to entry.key in known) continue
            val key = "[${entry.section}] ${entry.key}"
            faults += SettingFault(file, entry.line, key, entry.value, "a key of docs/platform.md")
        }
    }

    private fun bounds() = GatewayBounds(
        leaseMillis = bound("lease-millis", 3_000.0).toLong(),
        usageWindowMillis = seconds("usage-window-seconds", 5.0),
        usageLateMillis = seconds("usage-late-seconds", 10.0),
        retryRatio = bound("retry-ratio", 0.1),
        retrySlack = bound("retry-slack", 10.0),
        retryWindowMillis = seconds("retry-window-seconds", 10.0),
        capTolerance = CapTolerance(
            windowMillis = seconds("cap-window-seconds", 8.0),
            overRatio = bound("cap-over", 0.0),
            slack = bound("cap-slack", 0.0),
        ),
    )

    /** Bounds may be whole numbers or fractions. */
    private fun bound(name: String, default: Double): Double = optional("bounds", name, DECIMAL) ?: default

    private fun seconds(name: String, default: Double): Long = (bound(name, default) * MILLIS).toLong()

    private fun <T> required(section: String, name: String, type: SettingType<T>): T? {
        val value = optional(section, name, type)
        if (value == null && textOf(section, name).isNullOrEmpty()) {
            faults += SettingFault(file, 0, "[$section] $name", "absent", type.description)
        }
        return value
    }

    private fun <T> optional(section: String, name: String, type: SettingType<T>): T? {
        known += section to name
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

    private fun textOf(section: String, name: String): String? =
        ini.entries.firstOrNull { it.section == section && it.key == name }?.value

    private companion object {
        const val MILLIS = 1_000.0
        const val DEFAULT_GRACE = 8L
        val TRUTH = SettingType("true or false") { it.toBooleanStrictOrNull() }
        val DECIMAL = SettingType("a number of 0 or more") { it.toDoubleOrNull()?.takeIf { n -> n >= 0 } }
    }
}
