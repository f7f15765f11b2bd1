package io.figspan.cluster.coldserver;

import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The rate of one cold server as one host sees it: a token bucket that the requests of all its users drain. Each user
 * owns an equal part of the rate. This host adds its own part continuously, and that of another user up to the time at
 * which a message of that user arrived, together with the requests that the user has sent until then. So the part of a
 * user whose messages are lost stays reserved for that user, from its last message on.
 */
final class ColdBucket {
    /** Bounds the part that is added for a user that was silent for longer. */
    private static final long MAX_CREDIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Bounds the table of other hosts. Hosts that are no users send requests only while their views differ. */
    private static final int MAX_PEERS = 32;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final HostId self;
    private final RandomGenerator random;
    private final Map<HostId, PeerUse> peers = new HashMap<>();
    private Set<HostId> users = Set.of();
    private double ratePerUser;
    private double burstTokens;
    private double maxWaitTokens;
    private double minLevelTokens;
    private double levelTokens;
    private double waitTokens;
    private long sinceNanos;
    private long refilledNanos;

    /** What is known of the requests of another user. */
    private static final class PeerUse {
        long incarnation;
        long sentCount;
        long creditedNanos;
    }

    ColdBucket(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /** Begins a cold time of the server, empty. Requests of other users that were counted earlier stay counted. */
    void restart(long nowNanos) {
        levelTokens = 0;
        sinceNanos = nowNanos;
        refilledNanos = nowNanos;
        peers.values().forEach(peer -> peer.creditedNanos = nowNanos);
        drawWait();
    }

    void setRate(ColdBound bound, double requestsPerSecond, Set<HostId> newUsers) {
        users = newUsers;
        ratePerUser = bound.usedRate(requestsPerSecond) / Math.max(1, users.size());
        burstTokens = bound.burstTokens(requestsPerSecond);
        maxWaitTokens = bound.waitTokens(requestsPerSecond);
        minLevelTokens = -bound.requests(requestsPerSecond);
        levelTokens = Math.min(levelTokens, burstTokens);
    }

    Set<HostId> users() {
        return users;
    }

    /** Requests of all users are spread over the hosts at random: each waits for another level of the bucket. */
    private void drawWait() {
        // The generator may be shared with the placers, whose decisions don't change while nothing is limited.
        if (maxWaitTokens > 0) {
            waitTokens = random.nextDouble() * maxWaitTokens;
        }
    }

    /** Whether this host may send a request now. */
    boolean hasToken(long nowNanos) {
        if (!users.contains(self)) {
            return false;
        }
        refill(nowNanos);
        return levelTokens >= 1 + waitTokens;
    }

    private void refill(long nowNanos) {
        add(ratePerUser * Math.max(0, nowNanos - refilledNanos) / NANOS_PER_SECOND);
        refilledNanos = nowNanos;
    }

    private void add(double tokens) {
        levelTokens = Math.min(burstTokens, levelTokens + tokens);
    }

    /** Takes a token for a request of this host. */
    void sent(long nowNanos) {
        refill(nowNanos);
        take(1);
    }

    private void take(double tokens) {
        levelTokens = Math.max(minLevelTokens, levelTokens - tokens);
        drawWait();
    }

    /**
     * Another host has said how many requests it has sent in all.
     *
     * @param receivesFromThisHost whether it counts the requests of this host, so that its part may be used here too
     */
    void messageReceived(HostIncarnation peer, long sentCount, boolean receivesFromThisHost, long nowNanos) {
        if (peers.size() >= MAX_PEERS) {
            peers.keySet().retainAll(users);
        }
        PeerUse use = peers.computeIfAbsent(peer.host(), host -> {
            PeerUse created = new PeerUse();
            created.creditedNanos = sinceNanos;
            return created;
        });
        if (peer.number() < use.incarnation) {
            return;
        }
        if (peer.number() > use.incarnation) {
            use.incarnation = peer.number();
            use.sentCount = 0;
        }
        refill(nowNanos);
        if (receivesFromThisHost && users.contains(peer.host())) {
            long creditNanos = Math.max(0, Math.min(MAX_CREDIT_NANOS, nowNanos - use.creditedNanos));
            use.creditedNanos = nowNanos;
            levelTokens += ratePerUser * creditNanos / NANOS_PER_SECOND;
        }
        long added = sentCount - use.sentCount;
        if (added > 0) {
            use.sentCount = sentCount;
            take((double) added);
        }
        levelTokens = Math.min(burstTokens, levelTokens);
    }
}
