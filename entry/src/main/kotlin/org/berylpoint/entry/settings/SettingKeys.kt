package org.berylpoint.entry.settings

import org.berylpoint.entry.settings.SettingType.Companion.number

/** All keys of a settings file by section; `docs/settings.md` is generated from them. */
internal object SettingKeys {
    private val registeredKeys = mutableListOf<SettingKey<*>>()

    /** All keys in the order of the documentation. */
    val all: List<SettingKey<*>> get() = registeredKeys

    val id =
        required(
            "instance",
            "id",
            SettingType.name,
            "Name of the entry instance; the process appends a part of its own at each start, so that names are " +
                "unique over restarts.",
        )
    val failureDomain =
        required("instance", "failure-domain", SettingType.name, "Failure domain that the instance runs in.")
    val peerAddress =
        required(
            "instance",
            "peer-address",
            SettingType.dialAddress,
            "Address at which other entry instances reach this one.",
        )
    val callerAddress =
        defaulted(
            "instance",
            "caller-address",
            SettingType.listenAddress,
            "0.0.0.0:8080",
            "Address that callers' requests are accepted on.",
        )
    val adminAddress =
        defaulted(
            "instance",
            "admin-address",
            SettingType.listenAddress,
            "127.0.0.1:7402",
            "Address of `/operator`, `/metrics`, `/healthz`, `/readyz` and `/dump`.",
        )
    val drainSeconds =
        defaulted(
            "instance",
            "drain-seconds",
            number(0L..600, "seconds"),
            "30",
            "Longest time that a stopping instance waits for running requests.",
        )

    val seeds =
        defaulted(
            "peers",
            "seeds",
            SettingType.addressList,
            "",
            "Peer addresses to try until the first peer answers, and now and then later.",
        )
    val sharedKeyFile =
        required(
            "peers",
            "shared-key-file",
            SettingType.text,
            "File with the key that all entry instances share: the current key on the first line and, while keys " +
                "are rotated, the previous one on the second.",
        )

    val tableAddress = required("platform", "table-address", SettingType.httpAddress, "Table service.")
    val tableName = defaulted("platform", "table-name", SettingType.name, "berylpoint", "Name of the table.")
    val tableTimeoutMillis =
        defaulted(
            "platform",
            "table-timeout-millis",
            number(100L..30_000, "milliseconds"),
            "2000",
            "Longest wait for an answer of the table service.",
        )
    val objectsAddress = required("platform", "objects-address", SettingType.httpAddress, "Object store.")
    val bucket = defaulted("platform", "bucket", SettingType.name, "berylpoint", "Bucket in the object store.")
    val objectsTimeoutMillis =
        defaulted(
            "platform",
            "objects-timeout-millis",
            number(100L..60_000, "milliseconds"),
            "5000",
            "Longest wait for an answer of the object store.",
        )
    val instancesAddress = required("platform", "instances-address", SettingType.httpAddress, "Instance list.")
    val instancesTimeoutMillis =
        defaulted(
            "platform",
            "instances-timeout-millis",
            number(100L..60_000, "milliseconds"),
            "2000",
            "Longest wait for an answer of the instance list.",
        )
    val cloudAddress =
        optional(
            "platform",
            "cloud-address",
            SettingType.httpAddress,
            "Cloud API; without it no instance is started or stopped.",
        )
    val cloudTimeoutMillis =
        defaulted(
            "platform",
            "cloud-timeout-millis",
            number(100L..60_000, "milliseconds"),
            "5000",
            "Longest wait for an answer of the cloud API.",
        )
    val project =
        defaulted(
            "platform",
            "project",
            SettingType.name,
            "berylpoint",
            "Project in the instance list and the cloud API.",
        )
    val zones =
        defaulted(
            "platform",
            "zones",
            SettingType.nameList,
            "",
            "Zones to read in the instance list; the failure domain of this instance if empty.",
        )
    val weightsAddress = optional("platform", "weights-address", SettingType.httpAddress, "Weight store.")
    val weightsTimeoutMillis =
        defaulted(
            "platform",
            "weights-timeout-millis",
            number(100L..60_000, "milliseconds"),
            "2000",
            "Longest wait for an answer of the weight store.",
        )

    val tokenFile =
        optional(
            "operator",
            "token-file",
            SettingType.text,
            "File with the operators' bearer token on its first line; this or `token` must be given.",
        )
    val token = optional("operator", "token", SettingType.text, "The operators' bearer token itself, for trials.")

    val bodyBytes =
        defaulted("limits", "body-bytes", number(1_024L..67_108_864, "bytes"), "1048576", "Largest body of a request.")
    val headerBytes =
        defaulted(
            "limits",
            "header-bytes",
            number(1_024L..1_048_576, "bytes"),
            "16384",
            "Largest request line and headers together.",
        )
    val connections =
        defaulted(
            "limits",
            "max-connections",
            number(1L..100_000, "connections"),
            "4096",
            "Callers' connections at a time.",
        )

    val logFormat = defaulted("log", "format", SettingType.choice<LogFormat>(), "text", "Format of log lines.")
    val logLevel =
        defaulted("log", "level", SettingType.choice<LogLevel>(), "info", "Least severe level that is logged.")

    private fun <T> required(section: String, name: String, type: SettingType<T>, description: String) =
        register(SettingKey(section, name, type, null, true, description))

    private fun <T> optional(section: String, name: String, type: SettingType<T>, description: String) =
        register(SettingKey(section, name, type, null, false, description))

    private fun <T> defaulted(
        section: String,
        name: String,
        type: SettingType<T>,
        default: String,
        description: String,
    ) = register(SettingKey(section, name, type, default, false, description))

    private fun <T> register(key: SettingKey<T>): SettingKey<T> = key.also { registeredKeys += it }
}
