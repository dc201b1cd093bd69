package org.berylpoint.bench

/** A measurement that `bin/bench` can run. */
public interface Scenario {
    /** Name on the command line and of the files written. */
    public val name: String

    /** Runs the measurement; takes seconds to a few minutes. */
    public fun run(seed: Int): Report
}
