package io.figspan.cluster.membership;

import java.util.concurrent.TimeUnit;

/**
 * Times and bounds of membership. The defaults fit 2 KB a second at 400 hosts: one probe a second costs two frames
 * sent and two received.
 *
 * @param probeIntervalNanos time between two probes while local health is good
 * @param ackTimeoutNanos time after which a probe goes through helpers
 * @param helpers number of hosts asked for an indirect probe
 * @param lateTickNanos a tick that is later than this makes the process distrust its own suspicions
 * @param maxMembers bound of the member table
 * @param maxUpdates bound of the updates in one frame
 * @param maxUpdateBytes bound of their estimated size
 * @param goneRetentionNanos time for which a dead member is remembered and probed now and then
 */
public record MembershipConfig(
        long probeIntervalNanos,
        long ackTimeoutNanos,
        int helpers,
        long lateTickNanos,
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
