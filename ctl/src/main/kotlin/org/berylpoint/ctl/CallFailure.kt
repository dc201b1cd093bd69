package org.berylpoint.ctl

import kotlinx.serialization.Serializable
import org.berylpoint.model.CatalogueFault

/** Why a call or a check failed. */
@Serializable
internal data class CallFailure(
    val exit: ExitCode,
    val detail: String,
    /** The faults of a refused update or file. */
    val faults: List<String> = emptyList(),
) {
    constructor(exit: ExitCode, detail: String, faults: Iterable<CatalogueFault>) :
        this(exit, detail, faults.map { it.toString() })
}
