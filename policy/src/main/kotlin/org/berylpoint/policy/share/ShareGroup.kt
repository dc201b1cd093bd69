package org.berylpoint.policy.share

import org.berylpoint.model.Workspace

/**
 * The requests of one rank and one workspace to a service; shares are computed per group.
 *
 * [rank] is 0 for the most urgent requests. [workspace] is null for requests without a workspace and for the sum of the
 * workspaces that a report does not list by name.
 */
public data class ShareGroup(val rank: Int, val workspace: Workspace?) {
    /** The group in which the workspaces of the same rank are summed that a report does not list. */
    public val rest: ShareGroup get() = if (workspace == null) this else ShareGroup(rank, null)
}
