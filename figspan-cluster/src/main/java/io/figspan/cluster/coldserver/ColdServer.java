package io.figspan.cluster.coldserver;

import io.figspan.cluster.message.ColdServerUse;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** What is known of one server that is or was cold. */
final class ColdServer {
    final ColdBucket bucket;
    ColdSource source;
    long statedNanos;
    long sinceNanos;
    long untilNanos;
    double requestsPerSecond;
    Set<HostId> possibleUsers = Set.of();
    long sentCount;
    long toldNanos;
    int firstMessagesLeft;
    int broadcastsLeft;
    boolean isAnnounced;

    ColdServer(ColdBucket bucket, long nowNanos) {
        this.bucket = bucket;
        this.untilNanos = nowNanos;
        this.toldNanos = nowNanos;
    }

    boolean isCold(long nowNanos) {
        return untilNanos - nowNanos > 0;
    }

    boolean isLimited(long nowNanos) {
        return requestsPerSecond > 0 && isCold(nowNanos);
    }

    ColdServerUse toUse(BackendIncarnation server, long nowNanos) {
        long remainingNanos = Math.max(0, untilNanos - nowNanos);
        // Rounded up: a server must not count as warm elsewhere before its time.
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(remainingNanos + TimeUnit.MILLISECONDS.toNanos(1) - 1);
        long ageMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - statedNanos));
        return new ColdServerUse(server, remainingMs, ageMs, sentCount);
    }
}
