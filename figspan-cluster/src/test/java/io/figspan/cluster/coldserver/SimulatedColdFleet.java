package io.figspan.cluster.coldserver;

import io.figspan.cluster.LogicalTime;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;

/**
 * Hosts in front of cold servers and of warm ones, in logical time. Messages between hosts take some milliseconds and
 * may be lost. A request that no server accepts waits at its host for a while, as in a placer.
 */
final class SimulatedColdFleet {
    static final double COLD_PER_S = 26;

    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TICK_NANOS = 40 * MS;
    private static final int MAX_WAITING = 4;

    /** What is played. */
    record Load(int hosts, int servers, double requestsPerSecond, int lossPercent, long maxMessageMs) {}

    private final class Host {
        final HostId id;
        final ColdServers cold;
        final HostIncarnation incarnation;
        int waiting;
        boolean isStopped;

        Host(HostId id, long number) {
            this.id = id;
            this.incarnation = new HostIncarnation(id, number);
            this.cold = new ColdServers(id, fleet, bound, random.split());
            time.after(random.nextLong(TICK_NANOS), () -> time.every(TICK_NANOS, this::tick));
        }

        void tick() {
            if (!isStopped) {
                execute(this, cold.tick(time.nowNanos()));
                while (waiting > 0 && place(this)) {
                    waiting--;
                }
            }
        }
    }

    private final ColdServers.Fleet fleet = new ColdServers.Fleet() {
        @Override
        public double requestsPerSecond(BackendIncarnation server) {
            return coldPerSecond;
        }

        @Override
        public Set<HostId> hostsUsing(BackendIncarnation server, Set<HostId> hosts) {
            return hosts;
        }
    };
    private final Load load;
    private final ColdBound bound;
    private final double coldPerSecond;
    private final SplittableRandom random;
    private final LogicalTime time = new LogicalTime();
    private final List<Host> hosts = new ArrayList<>();
    private final List<BackendIncarnation> servers = new ArrayList<>();
    private final List<List<Long>> arrivalsNanos = new ArrayList<>();
    private BiPredicate<Integer, Integer> reaches = (from, to) -> true;
    private double warmTokensPerSecond;
    private double warmTokens;
    private long warmRefilledNanos;
    private long rejected;

    SimulatedColdFleet(Load load, double coldPerSecond, ColdBound bound, long seed) {
        this.load = load;
        this.coldPerSecond = coldPerSecond;
        this.bound = bound;
        this.random = new SplittableRandom(seed);
        for (int server = 0; server < load.servers(); server++) {
            servers.add(new BackendIncarnation(BackendServerId.of("server-" + server), 1));
            arrivalsNanos.add(new ArrayList<>());
        }
        for (int host = 0; host < load.hosts(); host++) {
            hosts.add(new Host(HostId.of("host-" + host), 1));
        }
    }

    SimulatedColdFleet(Load load, long seed) {
        this(load, COLD_PER_S, ColdBound.DEFAULT, seed);
    }

    /** All hosts know each other. */
    void joinAll() {
        Set<HostId> all = hosts.stream().map(host -> host.id).collect(Collectors.toSet());
        hosts.forEach(host -> host.cold.hostsChanged(all, true, time.nowNanos()));
    }

    /** The hosts to which this one may still send count as gone, as membership says some time after a partition. */
    void membershipFollows() {
        for (int to = 0; to < hosts.size(); to++) {
            Set<HostId> live = heardBy(to);
            hosts.get(to).cold.hostsChanged(live, live.size() > hosts.size() / 2, time.nowNanos());
        }
    }

    private Set<HostId> heardBy(int to) {
        Set<HostId> live = new HashSet<>();
        for (int from = 0; from < hosts.size(); from++) {
            if (from == to || reaches.test(from, to)) {
                live.add(hosts.get(from).id);
            }
        }
        return live;
    }

    /** From now on a message arrives only between these. */
    void connectOnly(BiPredicate<Integer, Integer> connection) {
        reaches = connection;
    }

    /** A new process takes the place of a host; it knows the hosts that it reaches. */
    void restart(int index) {
        Host old = hosts.get(index);
        old.isStopped = true;
        Host started = new Host(old.id, old.incarnation.number() + 1);
        hosts.set(index, started);
        Set<HostId> live = heardBy(index);
        started.cold.hostsChanged(live, live.size() > hosts.size() / 2, time.nowNanos());
    }

    /** All servers become cold; each host reads it from the entries within this time. */
    void becomeCold(long remainingMs, long maxReadMs) {
        for (BackendIncarnation server : servers) {
            hosts.forEach(host -> time.after(
                    random.nextLong(0, maxReadMs * MS + 1),
                    () -> execute(host, host.cold.stated(server, remainingMs, ColdSource.ENTRY, time.nowNanos()))));
        }
    }

    /** The host with this index reads that a server has become cold from one of the server's responses. */
    void respondCold(int host, int server, long remainingMs) {
        Host reader = hosts.get(host);
        execute(reader, reader.cold.stated(servers.get(server), remainingMs, ColdSource.RESPONSE, time.nowNanos()));
    }

    /** Requests a second that the servers which are not cold take. */
    void setWarmCapacity(double requestsPerSecond) {
        warmTokensPerSecond = requestsPerSecond;
    }

    void startRequests() {
        scheduleRequest();
    }

    void runFor(long durationMs) {
        time.runFor(durationMs);
    }

    private void execute(Host from, List<ColdAction> actions) {
        for (ColdAction action : actions) {
            if (action instanceof ColdAction.SendTo one) {
                send(from, indexOf(one.host()), one.message());
            } else if (action instanceof ColdAction.SendToAll all) {
                for (int to = 0; to < hosts.size(); to++) {
                    if (hosts.get(to) != from) {
                        send(from, to, all.message());
                    }
                }
            }
        }
    }

    private static int indexOf(HostId host) {
        return Integer.parseInt(host.value().substring("host-".length()));
    }

    private void send(Host from, int to, PeerMessage.ColdServerUses message) {
        if (!reaches.test(indexOf(from.id), to) || random.nextInt(100) < load.lossPercent()) {
            return;
        }
        time.after(random.nextLong(MS / 2, load.maxMessageMs() * MS), () -> {
            Host receiver = hosts.get(to);
            execute(receiver, receiver.cold.receive(from.incarnation, message, time.nowNanos()));
        });
    }

    private void scheduleRequest() {
        long gapNanos = (long) (-Math.log(1 - random.nextDouble()) / load.requestsPerSecond() * 1_000 * MS);
        time.after(gapNanos, () -> {
            request(hosts.get(random.nextInt(hosts.size())));
            scheduleRequest();
        });
    }

    /** Requests go to the servers that are not cold as long as these have room. */
    private void request(Host host) {
        warmTokens = Math.min(
                warmTokensPerSecond / 10,
                warmTokens + warmTokensPerSecond * (time.nowNanos() - warmRefilledNanos) / (1_000.0 * MS));
        warmRefilledNanos = time.nowNanos();
        if (warmTokens >= 1) {
            warmTokens--;
        } else if (!place(host)) {
            if (host.waiting < MAX_WAITING) {
                host.waiting++;
            } else {
                rejected++;
            }
        }
    }

    private boolean place(Host host) {
        int first = random.nextInt(servers.size());
        for (int offset = 0; offset < servers.size(); offset++) {
            int server = (first + offset) % servers.size();
            if (host.cold.admits(servers.get(server), time.nowNanos())) {
                arrivalsNanos.get(server).add(time.nowNanos());
                execute(host, host.cold.sent(servers.get(server), time.nowNanos()));
                return true;
            }
        }
        return false;
    }

    long nowNanos() {
        return time.nowNanos();
    }

    /** Most requests that reached one server in any second that began at this time or later. */
    int mostInASecond(long fromNanos) {
        int most = 0;
        for (List<Long> arrivals : arrivalsNanos) {
            int end = 0;
            for (int first = 0; first < arrivals.size(); first++) {
                while (end < arrivals.size() && arrivals.get(end) - arrivals.get(first) < 1_000 * MS) {
                    end++;
                }
                if (arrivals.get(first) >= fromNanos) {
                    most = Math.max(most, end - first);
                }
            }
        }
        return most;
    }

    /** Mean requests a second at one server since this time. */
    double requestsPerSecond(long fromNanos) {
        long requests = arrivalsNanos.stream()
                .flatMap(List::stream)
                .filter(at -> at >= fromNanos)
                .count();
        return requests * 1_000.0 * MS / (time.nowNanos() - fromNanos) / servers.size();
    }

    long rejected() {
        return rejected;
    }
}
