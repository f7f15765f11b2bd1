package io.figspan.cluster.coldserver;

import io.figspan.cluster.message.ColdServerUse;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.util.RendezvousHash;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Keeps for each incarnation of a backend server until when it is cold, and the requests that all hosts together send
 * to it meanwhile within {@link ColdBound}. A few hosts, the same ones in the view of all, use a cold server; they
 * report every request to it to each other and share its rate while the reports arrive ({@link ColdBucket}).
 *
 * <p>Performs no I/O and is not thread-safe; times are monotonic, in nanoseconds.
 */
public final class ColdServers {
    /** Bounds the table; the server whose cold time ends first makes room. */
    static final int MAX_SERVERS = 1_024;

    /** Bounds a message to a few kilobytes. */
    static final int MAX_USES_PER_MESSAGE = 32;

    /**
     * Interval at which the users of a cold server say that they still run and what they have sent. Their parts of a
     * longer one would not fit into the buckets of the others.
     */
    static final long REPEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Messages at the begin of a cold time that don't wait for the interval, so that all users are connected soon. */
    private static final int FIRST_MESSAGES = 3;

    /** A user without a message for this long may not receive those of this host either, so it gets no confirmation. */
    static final long RECENT_MESSAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

    /** Age up to which an entry may be when it is read; an older one must not end a cold time that a server named. */
    static final long MAX_ENTRY_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The same statement arrives from several hosts, each time a little later; only a newer one replaces it. */
    private static final long SAME_STATEMENT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Messages to all hosts that a server has become cold or warm; each may be lost. */
    private static final int BROADCASTS = 4;

    /** Longer cold times are cut to this one, so that sums with them don't overflow. */
    private static final long MAX_COLD_MS = TimeUnit.HOURS.toMillis(1);

    private final HostId self;
    private final Fleet fleet;
    private final RandomGenerator random;
    private final HostRoster roster = new HostRoster();
    private final Map<BackendIncarnation, ColdServer> servers = new LinkedHashMap<>();
    private final Map<HostId, Long> lastMessageNanos = new HashMap<>();
    private ColdBound bound;

    /** What the settings and the placement say about a server. */
    public interface Fleet {
        /** Requests a second that the server tolerates while it is cold; 0 if it has no limit. */
        double requestsPerSecond(BackendIncarnation server);

        /** Those of the hosts that may send requests to the server. */
        Set<HostId> hostsUsing(BackendIncarnation server, Set<HostId> hosts);
    }

    public ColdServers(HostId self, Fleet fleet, ColdBound bound, RandomGenerator random) {
        this.self = self;
        this.fleet = fleet;
        this.bound = bound;
        this.random = random;
    }

    // Fleet

    /** Replaces the bound. */
    public void setBound(ColdBound newBound) {
        bound = newBound;
        servers.values().forEach(cold -> cold.possibleUsers = Set.of());
        updateRates();
    }

    /**
     * Replaces the live hosts, which include this one.
     *
     * @param isFleetKnown whether most of the hosts that every host of the fleet contacts first are among them
     */
    public void hostsChanged(Set<HostId> liveHosts, boolean isFleetKnown, long nowNanos) {
        roster.liveHostsChanged(liveHosts, isFleetKnown, nowNanos);
        updateRates();
    }

    /**
     * Applies changed settings and servers, and removes the servers that no longer run. Those that are still cold are
     * kept, since their entries may return and the other hosts continue from the requests counted so far.
     */
    public void serversChanged(Predicate<BackendIncarnation> isRunning, long nowNanos) {
        servers.entrySet()
                .removeIf(known -> !isRunning.test(known.getKey()) && known.getValue().untilNanos - nowNanos <= 0);
        updateRates();
    }

    private void updateRates() {
        servers.forEach(this::updateRate);
    }

    private void updateRate(BackendIncarnation server, ColdServer cold) {
        double requestsPerSecond = fleet.requestsPerSecond(server);
        Set<HostId> possibleUsers = requestsPerSecond > 0 ? fleet.hostsUsing(server, roster.hosts()) : Set.of();
        boolean isSame = requestsPerSecond == cold.requestsPerSecond && possibleUsers.equals(cold.possibleUsers);
        if (isSame) {
            return;
        }
        cold.requestsPerSecond = requestsPerSecond;
        cold.possibleUsers = possibleUsers;
        if (requestsPerSecond <= 0) {
            return;
        }
        Set<HostId> users = RendezvousHash.order(server.server().value(), possibleUsers).stream()
                .limit(bound.maxUsers(requestsPerSecond))
                .collect(Collectors.toUnmodifiableSet());
        cold.bucket.setRate(bound, requestsPerSecond, users);
    }

    // Cold times

    /** A server, or its entry, has said how long it stays cold; 0 if it is warm. */
    public List<ColdAction> stated(BackendIncarnation server, long remainingMs, ColdSource source, long nowNanos) {
        ColdServer known = servers.get(server);
        boolean wasCold = known != null && known.isCold(nowNanos);
        if (!apply(server, remainingMs, source, nowNanos, nowNanos)) {
            return List.of();
        }
        ColdServer cold = servers.get(server);
        List<ColdAction> actions = new ArrayList<>();
        announce(server, cold, nowNanos, actions);
        if (source == ColdSource.RESPONSE && wasCold != cold.isCold(nowNanos)) {
            cold.broadcastsLeft = BROADCASTS;
            broadcast(server, cold, nowNanos, actions);
        }
        return actions;
    }

    /** Entries of the store reach all hosts, but a response only this one. */
    private static void broadcast(BackendIncarnation server, ColdServer cold, long nowNanos, List<ColdAction> actions) {
        if (cold.broadcastsLeft > 0 && cold.requestsPerSecond > 0) {
            cold.broadcastsLeft--;
            List<ColdServerUse> uses = List.of(cold.toUse(server, nowNanos));
            actions.add(new ColdAction.SendToAll(new PeerMessage.ColdServerUses(false, uses)));
        }
    }

    /** Records a statement unless it is older than what is known; returns whether it was recorded. */
    private boolean apply(
            BackendIncarnation server, long remainingMs, ColdSource source, long statedNanos, long nowNanos) {
        ColdServer known = servers.get(server);
        if (known == null ? remainingMs <= 0 : isOutdated(known, remainingMs, source, statedNanos)) {
            return false;
        }
        ColdServer cold = known == null ? add(server, nowNanos) : known;
        boolean wasCold = cold.isCold(nowNanos);
        cold.source = source;
        cold.statedNanos = statedNanos;
        cold.untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.min(MAX_COLD_MS, remainingMs));
        if (!wasCold && cold.isCold(nowNanos)) {
            cold.sinceNanos = nowNanos;
            cold.firstMessagesLeft = FIRST_MESSAGES;
            cold.bucket.restart(nowNanos);
        }
        return true;
    }

    private static void announce(BackendIncarnation server, ColdServer cold, long nowNanos, List<ColdAction> actions) {
        boolean isLimited = cold.isLimited(nowNanos);
        if (isLimited == cold.isAnnounced) {
            return;
        }
        cold.isAnnounced = isLimited;
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(cold.untilNanos - nowNanos);
        actions.add(
                isLimited
                        ? new ColdAction.BecameCold(server, cold.requestsPerSecond, remainingMs)
                        : new ColdAction.BecameWarm(server, cold.requestsPerSecond, cold.sentCount));
    }

    private static boolean isOutdated(ColdServer known, long remainingMs, ColdSource source, long statedNanos) {
        long laterNanos = statedNanos - known.statedNanos;
        return switch (source) {
            case ENTRY -> remainingMs <= 0 && known.source != ColdSource.ENTRY && laterNanos < MAX_ENTRY_AGE_NANOS;
            case RESPONSE -> laterNanos < 0;
            case PEER -> laterNanos < SAME_STATEMENT_NANOS;
        };
    }

    private ColdServer add(BackendIncarnation server, long nowNanos) {
        if (servers.size() >= MAX_SERVERS) {
            servers.entrySet().stream()
                    .min(Comparator.comparingLong(entry -> entry.getValue().untilNanos))
                    .map(Map.Entry::getKey)
                    .ifPresent(servers::remove);
        }
        ColdServer added = new ColdServer(new ColdBucket(self, random), nowNanos);
        servers.put(server, added);
        updateRate(server, added);
        return added;
    }

    // Requests

    /** Whether a request may be sent to the server now. */
    public boolean admits(BackendIncarnation server, long nowNanos) {
        ColdServer cold = servers.get(server);
        if (cold == null || !cold.isLimited(nowNanos)) {
            return true;
        }
        return roster.isSettled(nowNanos) && cold.bucket.hasToken(nowNanos);
    }

    /** Earliest time at which this host may send a request to the server, as far as is known. */
    public long reopensNanos(BackendIncarnation server, long nowNanos) {
        ColdServer cold = servers.get(server);
        boolean isClosed =
                cold != null && cold.isLimited(nowNanos) && !cold.bucket.users().contains(self);
        return isClosed ? cold.untilNanos : nowNanos;
    }

    /** Whether a request that was placed at the server at this time may still be written. */
    public boolean mayWrite(BackendIncarnation server, long placedNanos, long nowNanos) {
        ColdServer cold = servers.get(server);
        return cold == null || !cold.isLimited(nowNanos) || cold.sinceNanos - placedNanos <= 0;
    }

    /** A request is sent to the server. */
    public List<ColdAction> sent(BackendIncarnation server, long nowNanos) {
        ColdServer cold = servers.get(server);
        if (cold == null || !cold.isLimited(nowNanos)) {
            return List.of();
        }
        cold.bucket.sent(nowNanos);
        cold.sentCount++;
        cold.toldNanos = nowNanos;
        List<ColdServerUse> uses = List.of(cold.toUse(server, nowNanos));
        List<ColdAction> actions = new ArrayList<>();
        cold.bucket.users().stream()
                .filter(user -> !user.equals(self))
                .forEach(user -> actions.add(message(user, uses, nowNanos)));
        return actions;
    }

    private ColdAction.SendTo message(HostId host, List<ColdServerUse> uses, long nowNanos) {
        Long lastNanos = lastMessageNanos.get(host);
        boolean receives = lastNanos != null && nowNanos - lastNanos < RECENT_MESSAGE_NANOS;
        return new ColdAction.SendTo(host, new PeerMessage.ColdServerUses(receives, uses));
    }

    // Other hosts

    /** Another host has sent what it knows. */
    public List<ColdAction> receive(HostIncarnation from, PeerMessage.ColdServerUses message, long nowNanos) {
        List<ColdAction> actions = new ArrayList<>();
        for (ColdServerUse use : message.uses()) {
            long statedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(use.ageMs());
            apply(use.server(), use.remainingMs(), ColdSource.PEER, statedNanos, nowNanos);
            ColdServer cold = servers.get(use.server());
            if (cold == null) {
                continue;
            }
            announce(use.server(), cold, nowNanos, actions);
            if (cold.isLimited(nowNanos)) {
                lastMessageNanos.put(from.host(), nowNanos);
                cold.bucket.messageReceived(from, use.sentCount(), message.receivesFromReceiver(), nowNanos);
            }
        }
        return actions;
    }

    /** Ends cold times, and repeats to the other users what they may have missed. To be called many times a second. */
    public List<ColdAction> tick(long nowNanos) {
        if (roster.expire(nowNanos)) {
            updateRates();
        }
        List<ColdAction> actions = new ArrayList<>();
        servers.forEach((server, cold) -> announce(server, cold, nowNanos, actions));
        repeat(nowNanos, actions);
        lastMessageNanos.values().removeIf(lastNanos -> nowNanos - lastNanos >= RECENT_MESSAGE_NANOS);
        return actions;
    }

    private void repeat(long nowNanos, List<ColdAction> actions) {
        Map<HostId, List<ColdServerUse>> usesByHost = new LinkedHashMap<>();
        servers.forEach((server, cold) -> {
            boolean isDue = cold.firstMessagesLeft > 0 || nowNanos - cold.toldNanos >= REPEAT_NANOS;
            if (!isDue || cold.requestsPerSecond <= 0) {
                return;
            }
            cold.toldNanos = nowNanos;
            cold.firstMessagesLeft = Math.max(0, cold.firstMessagesLeft - 1);
            broadcast(server, cold, nowNanos, actions);
            if (!cold.isCold(nowNanos) || !cold.bucket.users().contains(self)) {
                return;
            }
            ColdServerUse use = cold.toUse(server, nowNanos);
            cold.bucket.users().stream().filter(user -> !user.equals(self)).forEach(user -> usesByHost
                    .computeIfAbsent(user, key -> new ArrayList<>())
                    .add(use));
        });
        usesByHost.forEach((host, uses) -> {
            for (int first = 0; first < uses.size(); first += MAX_USES_PER_MESSAGE) {
                List<ColdServerUse> part = uses.subList(first, Math.min(uses.size(), first + MAX_USES_PER_MESSAGE));
                actions.add(message(host, part, nowNanos));
            }
        });
    }

    /** Whether no server has said that it is cold. */
    public boolean isEmpty() {
        return servers.isEmpty();
    }

    /** The servers whose requests are limited now because they are cold. */
    public Set<BackendIncarnation> coldServers(long nowNanos) {
        return servers.entrySet().stream()
                .filter(entry -> entry.getValue().isLimited(nowNanos))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
