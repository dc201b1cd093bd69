package org.berylpoint.entry.member

import org.berylpoint.peer.PeerMessage.Heartbeat

/** A component that exchanges its state over heartbeats: adds fields to sent ones and reads them from received ones. */
public interface HeartbeatExtension {
    /** Returns a copy of [heartbeat] with the fields of this component. */
    public fun fill(heartbeat: Heartbeat): Heartbeat

    /**
     * Processes the fields of a peer's heartbeat. [ageMillis] is an upper bound on the time since the peer filled them
     * in. For a heartbeat that arrives as a request the age is unknown, and the bound is a very large number.
     */
    public fun receive(heartbeat: Heartbeat, ageMillis: Long)
}
