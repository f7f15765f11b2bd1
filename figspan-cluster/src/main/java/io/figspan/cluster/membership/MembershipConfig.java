package io.figspan.cluster.membership;

import java.util.concurrent.TimeUnit;

/**
 * Timings and limits of the membership protocol. The defaults use at most 2 KB per second at 400 hosts: one probe a
 * second costs two frames sent and two received.
 *
 * @param probeIntervalNanos time between two probes at local health score 0
 * @param ackTimeoutNanos time without an acknowledgement after which helpers probe the target
 * @param helpers number of hosts that are asked to probe the target indirectly
 * @param pauseThresholdNanos delay of a tick beyond which the process counts as paused, which worsens its local health
 *     and extends its running suspicions
 * @param maxMembers maximum size of the member table
 * @param maxUpdates maximum number of member updates in one frame
 * @param maxUpdateBytes maximum estimated size of these updates
 * @param goneRetentionNanos time for which a dead or departed member is kept; a dead one is still probed occasionally
 */
public record MembershipConfig(
        long probeIntervalNanos,
        long ackTimeoutNanos,
        int helpers,
        long pauseThresholdNanos,
        int maxMembers,
        int maxUpdates,
        int maxUpdateBytes,
        long goneRetentionNanos) {
    public static final MembershipConfig DEFAULTS = new MembershipConfig(
            TimeUnit.SECONDS.toNanos(1),
            TimeUnit.MILLISECONDS.toNanos(300),
            3,
            TimeUnit.MILLISECONDS.toNanos(500),
            1_024,
            8,
            400,
            TimeUnit.HOURS.toNanos(1));
}
