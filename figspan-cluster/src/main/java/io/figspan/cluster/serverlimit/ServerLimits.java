package io.figspan.cluster.serverlimit;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.message.ServerLimitUse;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Keeps the requests that all hosts together send to a server within the rate that it has named in its answers (a
 * distributed rate limit). The hosts that use the server tell each other of every request to it, so the rate goes to
 * where the traffic is. What a host that can't be heard may send is left to it: an equal part.
 *
 * <p>Performs no I/O and is not thread-safe; times are monotonic, in nanoseconds.
 */
public final class ServerLimits {
    /** Bounds the table; the server that named its limit first makes room. */
    static final int MAX_SERVERS = 1_024;

    /** Bounds a message to a few kilobytes. */
    static final int MAX_USES_PER_MESSAGE = 32;

    /** Interval at which hosts repeat what they have sent lately. */
    static final long REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Requests are repeated for this long. */
    static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

    private final HostId self;
    private final Function<BackendIncarnation, Set<HostId>> hostsUsing;
    private final RandomGenerator random;
    private final Map<BackendIncarnation, SharedLimit> limits = new LinkedHashMap<>();
    private Set<HostId> silentHosts = Set.of();
    private long lastRepeatNanos;

    /**
     * Creates a table without limits.
     *
     * @param hostsUsing the live hosts that may send requests to a server
     */
    public ServerLimits(HostId self, Function<BackendIncarnation, Set<HostId>> hostsUsing, RandomGenerator random) {
        this.self = self;
        this.hostsUsing = hostsUsing;
        this.random = random;
    }

    /** Whether no server has named a limit. */
    public boolean isEmpty() {
        return limits.isEmpty();
    }

    /** Replaces the set of live hosts from which nothing was heard lately. */
    public void silentHostsChanged(Set<HostId> hosts) {
        silentHosts = Set.copyOf(hosts);
    }

    /**
     * A server has answered.
     *
     * @param requestsPerSecond the limit that it named, if any
     */
    public List<LimitAction> answered(BackendIncarnation server, OptionalDouble requestsPerSecond, long nowNanos) {
        SharedLimit limit = limits.get(server);
        boolean isLimited = requestsPerSecond.isPresent();
        if (limit == null && !isLimited) {
            return List.of();
        }
        boolean wasLimited = limit != null && limit.isLimited();
        SharedLimit known = limit == null ? add(server, nowNanos) : limit;
        if (!known.state(isLimited, requestsPerSecond.orElse(0), nowNanos, nowNanos)) {
            return List.of();
        }
        PeerMessage.ServerLimitUses news = new PeerMessage.ServerLimitUses(List.of(known.toUse(nowNanos)));
        LimitAction send = wasLimited == isLimited
                ? new LimitAction.SendTo(others(server), news)
                : new LimitAction.SendToAll(news);
        return List.of(changed(server, known), send);
    }

    private static LimitAction changed(BackendIncarnation server, SharedLimit limit) {
        return new LimitAction.LimitChanged(server, limit.isLimited(), limit.requestsPerSecond());
    }

    private SharedLimit add(BackendIncarnation server, long statedNanos) {
        if (limits.size() >= MAX_SERVERS) {
            limits.remove(limits.keySet().iterator().next());
        }
        SharedLimit added = new SharedLimit(server, random, statedNanos);
        limits.put(server, added);
        return added;
    }

    /** Whether a request may be sent to the server now. */
    public boolean admits(BackendIncarnation server, long nowNanos) {
        SharedLimit limit = limits.get(server);
        if (limit == null || !limit.isLimited()) {
            return true;
        }
        Set<HostId> users = hostsUsing.apply(server);
        if (!users.contains(self)) {
            return false;
        }
        refill(limit, users, nowNanos);
        return limit.hasToken();
    }

    private void refill(SharedLimit limit, Set<HostId> users, long nowNanos) {
        long silent = users.stream().filter(silentHosts::contains).count();
        limit.refill((double) (users.size() - silent) / Math.max(1, users.size()), nowNanos);
    }

    /** Forgets the limits of servers that no longer run. */
    public void retainServers(Predicate<BackendIncarnation> isRunning) {
        limits.keySet().removeIf(server -> !isRunning.test(server));
    }

    /** A request is sent to the server. */
    public List<LimitAction> sent(BackendIncarnation server, long nowNanos) {
        SharedLimit limit = limits.get(server);
        if (limit == null || !limit.isLimited()) {
            return List.of();
        }
        refill(limit, hostsUsing.apply(server), nowNanos);
        limit.sent(nowNanos);
        PeerMessage.ServerLimitUses news = new PeerMessage.ServerLimitUses(List.of(limit.toUse(nowNanos)));
        return List.of(new LimitAction.SendTo(others(server), news));
    }

    private Set<HostId> others(BackendIncarnation server) {
        Set<HostId> others = new HashSet<>(hostsUsing.apply(server));
        others.remove(self);
        return others;
    }

    /** Another host has sent what it knows. */
    public List<LimitAction> receive(HostIncarnation from, PeerMessage.ServerLimitUses message, long nowNanos) {
        List<LimitAction> actions = new ArrayList<>();
        for (ServerLimitUse use : message.uses()) {
            merge(from, use, nowNanos, actions);
        }
        return actions;
    }

    private void merge(HostIncarnation from, ServerLimitUse use, long nowNanos, List<LimitAction> actions) {
        SharedLimit limit = limits.get(use.server());
        if (limit == null && !use.isLimited()) {
            return;
        }
        long statedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(use.ageMs());
        SharedLimit known = limit == null ? add(use.server(), statedNanos) : limit;
        if (known.state(use.isLimited(), use.requestsPerSecond(), statedNanos, nowNanos)) {
            actions.add(changed(use.server(), known));
        }
        refill(known, hostsUsing.apply(use.server()), nowNanos);
        known.sentByPeer(from, use.sentCount());
    }

    /** Repeats what other hosts may have missed. To be called several times a second. */
    public List<LimitAction> tick(long nowNanos) {
        if (limits.isEmpty() || nowNanos - lastRepeatNanos < REPEAT_INTERVAL_NANOS) {
            return List.of();
        }
        lastRepeatNanos = nowNanos;
        Set<HostId> receivers = new HashSet<>();
        List<ServerLimitUse> uses = new ArrayList<>();
        limits.forEach((server, limit) -> {
            boolean isRecent = limit.isLimited() && nowNanos - limit.lastSentNanos() < REPEAT_NANOS;
            if (isRecent && uses.size() < MAX_USES_PER_MESSAGE) {
                receivers.addAll(others(server));
                uses.add(limit.toUse(nowNanos));
            }
        });
        return uses.isEmpty()
                ? List.of()
                : List.of(new LimitAction.SendTo(receivers, new PeerMessage.ServerLimitUses(uses)));
    }

    /** Number of servers that limit their requests now. */
    public long limitedCount() {
        return limits.values().stream().filter(SharedLimit::isLimited).count();
    }
}
