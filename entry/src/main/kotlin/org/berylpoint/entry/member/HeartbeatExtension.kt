package org.berylpoint.entry.member

import org.berylpoint.peer.PeerMessage.Heartbeat

/** A component with news to spread: adds its own to each heartbeat sent and reads each heartbeat received. */
public interface HeartbeatExtension {
    /** Returns [heartbeat] with this component's fields filled in. */
    public fun fill(heartbeat: Heartbeat): Heartbeat

    /**
     * Takes in the fields of a peer's heartbeat; [ageMillis] bounds how long ago the peer filled it in. Only the age
     * of an answer is known; that of a request is given as a very large number.
     */
    public fun receive(heartbeat: Heartbeat, ageMillis: Long)
}
