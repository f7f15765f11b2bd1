package io.figspan.cluster.serverlimit;

import io.figspan.cluster.LogicalTime;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.BackendServerId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Hosts in front of one server that names a limit, in logical time. Their messages take a few milliseconds and may be
 * lost. Each request is answered after some milliseconds.
 */
final class SimulatedSenders {
    static final BackendIncarnation SERVER = new BackendIncarnation(BackendServerId.of("engine-1"), 1);

    private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TICK_NANOS = 40 * MS;
    private static final long MAX_MESSAGE_NANOS = 5 * MS;
    private static final long MIN_ANSWER_NANOS = 20 * MS;
    private static final long MAX_ANSWER_NANOS = 200 * MS;
    private static final long REACHABLE_NANOS = 1_000 * MS;

    /**
     * What is played.
     *
     * @param requestsPerSecond demand of all hosts together
     * @param firstHostPercent share of the demand that comes to the first host; the others have equal parts
     * @param lossPercent share of the messages between hosts that are lost
     */
    record Load(int hosts, double requestsPerSecond, int firstHostPercent, int lossPercent) {}

    private static final class Host {
        final HostId id;
        final ServerLimits limits;
        boolean isCutOff;
        int sent;

        Host(HostId id, ServerLimits limits) {
            this.id = id;
            this.limits = limits;
        }
    }

    private final Load load;
    private final SplittableRandom random;
    private final LogicalTime time = new LogicalTime();
    private final List<Host> hosts = new ArrayList<>();
    private final Set<HostId> hostIds = new HashSet<>();
    private final List<Long> arrivalsNanos = new ArrayList<>();
    private OptionalDouble limit = OptionalDouble.empty();
    private long limitedSinceNanos;

    SimulatedSenders(Load load, long seed) {
        this.load = load;
        this.random = new SplittableRandom(seed);
        for (int host = 0; host < load.hosts(); host++) {
            hostIds.add(HostId.of("host-" + host));
        }
        for (int host = 0; host < load.hosts(); host++) {
            HostId id = HostId.of("host-" + host);
            hosts.add(new Host(id, new ServerLimits(id, server -> hostIds, random.split())));
        }
        hosts.forEach(host -> time.every(TICK_NANOS, () -> execute(host, host.limits.tick(time.nowNanos()))));
        scheduleRequest();
    }

    void runFor(long durationMs) {
        time.runFor(durationMs);
    }

    /** From now on the server names this limit in its answers. */
    void limitTo(double requestsPerSecond) {
        limit = OptionalDouble.of(requestsPerSecond);
        limitedSinceNanos = time.nowNanos();
    }

    void endLimit() {
        limit = OptionalDouble.empty();
    }

    /** The first host and the others hear nothing of each other from now on. */
    void cutOffFirstHost() {
        Host first = hosts.get(0);
        first.isCutOff = true;
        time.after(REACHABLE_NANOS, () -> {
            Set<HostId> others = new HashSet<>(hostIds);
            others.remove(first.id);
            first.limits.silentHostsChanged(others);
            hosts.stream().skip(1).forEach(host -> host.limits.silentHostsChanged(Set.of(first.id)));
        });
    }

    private void execute(Host from, List<LimitAction> actions) {
        for (LimitAction action : actions) {
            if (action instanceof LimitAction.SendTo some) {
                some.hosts().forEach(to -> send(from, to, some.message()));
            } else if (action instanceof LimitAction.SendToAll all) {
                hostIds.stream().filter(to -> !to.equals(from.id)).forEach(to -> send(from, to, all.message()));
            }
        }
    }

    private void send(Host from, HostId to, PeerMessage.ServerLimitUses message) {
        Host receiver =
                hosts.stream().filter(host -> host.id.equals(to)).findFirst().orElseThrow();
        if (from.isCutOff || receiver.isCutOff || random.nextInt(100) < load.lossPercent()) {
            return;
        }
        time.after(
                random.nextLong(MS, MAX_MESSAGE_NANOS),
                () -> execute(
                        receiver, receiver.limits.receive(new HostIncarnation(from.id, 1), message, time.nowNanos())));
    }

    private void scheduleRequest() {
        long gapNanos = (long) (-Math.log(1 - random.nextDouble()) / load.requestsPerSecond() * 1_000 * MS);
        time.after(gapNanos, () -> {
            Host host = random.nextInt(100) < load.firstHostPercent()
                    ? hosts.get(0)
                    : hosts.get(random.nextInt(hosts.size()));
            request(host);
            scheduleRequest();
        });
    }

    private void request(Host host) {
        if (!host.limits.admits(SERVER, time.nowNanos())) {
            return;
        }
        host.sent++;
        arrivalsNanos.add(time.nowNanos());
        execute(host, host.limits.sent(SERVER, time.nowNanos()));
        time.after(
                random.nextLong(MIN_ANSWER_NANOS, MAX_ANSWER_NANOS),
                () -> execute(host, host.limits.answered(SERVER, limit, time.nowNanos())));
    }

    /** Most requests in any window of this length that begins later than {@code fromMs} after the limit was named. */
    int mostRequestsWithin(long windowMs, long fromMs) {
        long fromNanos = limitedSinceNanos + fromMs * MS;
        int most = 0;
        for (int first = 0; first < arrivalsNanos.size(); first++) {
            long startNanos = arrivalsNanos.get(first);
            if (startNanos >= fromNanos) {
                long endNanos = startNanos + windowMs * MS;
                int count = (int) arrivalsNanos.stream()
                        .filter(at -> at >= startNanos && at <= endNanos)
                        .count();
                most = Math.max(most, count);
            }
        }
        return most;
    }

    /** Requests since {@code fromMs} after the limit was named. */
    long requestsSince(long fromMs) {
        long fromNanos = limitedSinceNanos + fromMs * MS;
        return arrivalsNanos.stream().filter(at -> at >= fromNanos).count();
    }

    int requests() {
        return arrivalsNanos.size();
    }

    int requestsOfFirstHost() {
        return hosts.get(0).sent;
    }
}
