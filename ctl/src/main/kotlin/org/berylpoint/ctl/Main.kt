package org.berylpoint.ctl

import com.github.ajalt.clikt.core.main

/** Starts `berylctl`. */
public fun main(args: Array<String>): Unit = Berylctl().main(args)
