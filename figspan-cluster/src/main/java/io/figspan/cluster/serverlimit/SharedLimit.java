package io.figspan.cluster.serverlimit;

import io.figspan.cluster.message.ServerLimitUse;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostIncarnation;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * The limit of one server as one host sees it: a token bucket that the requests of all hosts drain. Each host tells the
 * others how many requests it has sent, so that all have nearly the same bucket and none needs a share of its own.
 */
final class SharedLimit {
    /** Tokens above one that a host may wait for, so that hosts with waiting requests don't all send the next one. */
    static final double MAX_WAIT_TOKENS = 1;

    /** Length of a burst after a pause, in seconds of the rate, beyond the least capacity. */
    static final double BURST_S = 0.25;

    /** Rate at which a server is tried that accepts less, so that the end of its limit is noticed. */
    static final double MIN_REQUESTS_PER_SECOND = 0.1;

    /** Bounds the time for which a server gets nothing after hosts have sent at the same time. */
    private static final double MIN_LEVEL_TOKENS = -20;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Bounds the table of other hosts; those that were heard of first make room. */
    private static final int MAX_PEERS = 64;

    private final BackendIncarnation server;
    private final RandomGenerator random;
    private final Map<HostIncarnation, Long> sentByPeer = new LinkedHashMap<>();
    private boolean isLimited;
    private double requestsPerSecond;
    private long statedNanos;
    private double levelTokens;
    private long refilledNanos;
    private double waitTokens;
    private long sentCount;
    private long lastSentNanos;

    SharedLimit(BackendIncarnation server, RandomGenerator random, long statedNanos) {
        this.server = server;
        this.random = random;
        this.statedNanos = statedNanos;
        this.lastSentNanos = statedNanos;
    }

    boolean isLimited() {
        return isLimited;
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    long statedNanos() {
        return statedNanos;
    }

    /** Time of the latest request that this host has sent. */
    long lastSentNanos() {
        return lastSentNanos;
    }

    /** Records what the server said at {@code atNanos}, unless it is older than what is known; returns any change. */
    boolean state(boolean limited, double newRequestsPerSecond, long atNanos, long nowNanos) {
        if (atNanos - statedNanos < 0) {
            return false;
        }
        statedNanos = atNanos;
        boolean hasChanged = limited != isLimited || newRequestsPerSecond != requestsPerSecond;
        if (limited && !isLimited) {
            levelTokens = 0;
            refilledNanos = nowNanos;
            drawWait();
        }
        isLimited = limited;
        requestsPerSecond = newRequestsPerSecond;
        return hasChanged;
    }

    /** Requests within this time are spread over the hosts at random: each waits for another level of the bucket. */
    private void drawWait() {
        waitTokens = random.nextDouble() * MAX_WAIT_TOKENS;
    }

    /**
     * Adds the tokens since the last call.
     *
     * @param share part of the rate that the hosts may use from which this one hears; the rest is left to the others
     */
    void refill(double share, long nowNanos) {
        double rate = Math.max(requestsPerSecond, MIN_REQUESTS_PER_SECOND);
        double capacityTokens = 1 + MAX_WAIT_TOKENS + BURST_S * rate;
        double addedTokens = (nowNanos - refilledNanos) / NANOS_PER_SECOND * rate * share;
        levelTokens = Math.min(capacityTokens, levelTokens + addedTokens);
        refilledNanos = nowNanos;
    }

    /** Whether this host may send a request; the bucket must be refilled. */
    boolean hasToken() {
        return levelTokens >= 1 + waitTokens;
    }

    /** Records a request of this host. */
    void sent(long nowNanos) {
        sentCount++;
        lastSentNanos = nowNanos;
        take(1);
    }

    /** Records how many requests another host has sent in all. */
    void sentByPeer(HostIncarnation peer, long count) {
        Long known = sentByPeer.get(peer);
        sentByPeer.merge(peer, count, Math::max);
        if (sentByPeer.size() > MAX_PEERS) {
            sentByPeer.remove(sentByPeer.keySet().iterator().next());
        }
        // What a host has sent before this one first heard of it lies in the past.
        long added = known == null ? Math.min(1, count) : count - known;
        if (added > 0) {
            take(added);
        }
    }

    private void take(long tokens) {
        levelTokens = Math.max(MIN_LEVEL_TOKENS, levelTokens - tokens);
        drawWait();
    }

    ServerLimitUse toUse(long nowNanos) {
        long ageMs = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - statedNanos));
        return new ServerLimitUse(server, isLimited, requestsPerSecond, ageMs, sentCount);
    }
}
