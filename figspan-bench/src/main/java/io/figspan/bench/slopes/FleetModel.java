package io.figspan.bench.slopes;

import io.figspan.cluster.ClusterHost;
import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.loan.LimitShares;
import io.figspan.cluster.membership.MembershipConfig;
import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.core.time.HybridTimestamp;
import io.figspan.wire.FrameCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Runs cluster hosts in logical time and counts messages, encoded bytes and the processor time of the protocols. */
final class FleetModel {
    /** Availability zones of the design scale. */
    private static final int ZONES = 5;

    /** Length and HMAC around each body. */
    private static final int FRAME_OVERHEAD_BYTES = 20;

    private static final long MIN_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(200);
    private static final long DELAY_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Lent by each home host in the loan run; far above what is asked for. */
    private static final double OWN_TOKENS_PER_SECOND = 1_000_000;

    private final int size;
    private final SplittableRandom random;
    private final List<PeerAddress> seeds = new ArrayList<>();
    private final List<ModelHost> processes = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final long[] lastArrivals;
    private SettingsContent published = SettingsContent.NONE;
    private long nowNanos;
    private long nextOrder;
    private long messages;
    private long sentBytes;
    private long processorNanos;
    private long adoptions;
    private long lastAdoptionNanos;

    /** Totals over all hosts since the last reset. */
    record Totals(long messages, long bytes, long processorNanos, long adoptions) {}

    private record Event(long atNanos, long order, Runnable action) {}

    private final class ModelHost {
        private final int index;
        private final ClusterHost host;
        private final Peer self;
        private boolean running = true;
        private boolean watching;

        ModelHost(int index) {
            this.index = index;
            this.self = new Peer(
                    new HostIncarnation(
                            HostId.of("host-" + index), 1_790_000_000_000L + TimeUnit.NANOSECONDS.toMillis(nowNanos)),
                    AvailabilityZoneId.of("az-" + index % ZONES),
                    seedAddress(index));
            this.host = new ClusterHost(self, seeds, MembershipConfig.DEFAULTS, new Shares(), random.split(), nowNanos);
            schedule(random.nextLong(ClusterHost.TICK_NANOS), this::tick);
        }

        void tick() {
            if (!running) {
                return;
            }
            long start = System.nanoTime();
            List<ClusterAction> actions = host.tick(nowNanos);
            processorNanos += System.nanoTime() - start;
            carryOut(actions, index);
            schedule(ClusterHost.TICK_NANOS, this::tick);
        }

        void receive(Peer from, int fromIndex, byte[] body) {
            if (!running) {
                return;
            }
            long start = System.nanoTime();
            PeerMessage message = FrameCodec.decode(body).message();
            List<ClusterAction> actions = host.receive(from, message, nowNanos);
            processorNanos += System.nanoTime() - start;
            carryOut(actions, fromIndex);
        }

        void carryOut(List<ClusterAction> actions, int repliesTo) {
            for (ClusterAction action : actions) {
                if (action instanceof ClusterAction.Send send) {
                    post(this, indexOf(send.to()), send.message());
                } else if (action instanceof ClusterAction.Reply reply) {
                    post(this, repliesTo, reply.message());
                } else if (action instanceof ClusterAction.WatchConfigurationService watch) {
                    watching = watch.watch();
                    readService();
                } else if (action instanceof ClusterAction.ReadConfigurationService) {
                    readService();
                } else if (action instanceof ClusterAction.AdoptSettings adopt) {
                    adoptions++;
                    lastAdoptionNanos = nowNanos;
                    carryOut(host.adopted(adopt.content().version(), nowNanos), index);
                }
            }
        }

        void readService() {
            if (published.version().isNewerThan(SettingsVersion.NONE)) {
                carryOut(host.settingsRead(published, nowNanos), index);
            }
        }
    }

    private static final class Shares implements LimitShares {
        @Override
        public double ownTokensPerSecond(OrganisationId organisation, long atNanos) {
            return OWN_TOKENS_PER_SECOND;
        }

        @Override
        public double usedTokensPerSecond(OrganisationId organisation, long atNanos) {
            return 0;
        }
    }

    FleetModel(int size, long seed) {
        this.size = size;
        this.random = new SplittableRandom(seed);
        this.lastArrivals = new long[size * size];
        for (int i = 0; i < Math.min(size, ZONES); i++) {
            seeds.add(seedAddress(i));
        }
        for (int i = 0; i < size; i++) {
            processes.add(new ModelHost(i));
        }
    }

    void run(double seconds) {
        long endNanos = nowNanos + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }

    Totals takeTotals() {
        Totals totals = new Totals(messages, sentBytes, processorNanos, adoptions);
        messages = 0;
        sentBytes = 0;
        processorNanos = 0;
        adoptions = 0;
        return totals;
    }

    /** Ends the process at a random seat and starts a new one there. */
    void restartOne() {
        int index = random.nextInt(size);
        processes.get(index).running = false;
        processes.set(index, new ModelHost(index));
    }

    /** Publishes a version in which one line of a part of this size differs from the former version. */
    void publish(long version, int partBytes) {
        published = content(version, partBytes);
        processes.stream().filter(process -> process.watching).forEach(ModelHost::readService);
    }

    /** Publishes a version and returns the milliseconds until the last host has it; negative when one lacks it. */
    double publishAndMeasureMs(long version, int partBytes) {
        long startNanos = nowNanos;
        adoptions = 0;
        publish(version, partBytes);
        run(5);
        return adoptions < size ? -1 : (lastAdoptionNanos - startNanos) / 1e6;
    }

    /** One host asks a random other one for a loan. */
    void askForLoan(ModelHost asker) {
        ModelHost home = processes.get(random.nextInt(size));
        OrganisationId organisation = OrganisationId.of("organisation-" + random.nextInt(16_000));
        long start = System.nanoTime();
        List<ClusterAction> actions = asker.host.requestLoan(organisation, 1_000, List.of(home.self), nowNanos);
        processorNanos += System.nanoTime() - start;
        asker.carryOut(actions, asker.index);
    }

    void askForLoansEverywhere() {
        new ArrayList<>(processes).forEach(this::askForLoan);
    }

    boolean viewsAreComplete() {
        return processes.stream()
                .allMatch(process -> process.host.membership().live().size() == size);
    }

    static SettingsContent content(long version, int partBytes) {
        StringBuilder text = new StringBuilder(partBytes + 100);
        text.append("changed = ").append(version).append('\n');
        for (int i = 0; text.length() < partBytes; i++) {
            text.append("[organisation.org-")
                    .append(i)
                    .append("]\ntokensPerSecond = ")
                    .append(i * 7919L % 100_003);
            text.append('\n');
        }
        Bytes part = Bytes.wrap(text.toString().getBytes(StandardCharsets.UTF_8));
        return SettingsContent.of(new SettingsVersion(version), Map.of("organisations.toml", part));
    }

    private void post(ModelHost from, int to, PeerMessage message) {
        long start = System.nanoTime();
        byte[] body = FrameCodec.encode(
                message, new HybridTimestamp(1_790_000_000_000L + TimeUnit.NANOSECONDS.toMillis(nowNanos), 1));
        processorNanos += System.nanoTime() - start;
        messages++;
        sentBytes += body.length + FRAME_OVERHEAD_BYTES;
        int link = from.index * size + to;
        long atNanos = nowNanos + MIN_DELAY_NANOS + random.nextLong(DELAY_SPREAD_NANOS);
        lastArrivals[link] = Math.max(lastArrivals[link] + 1, atNanos);
        schedule(lastArrivals[link] - nowNanos, () -> processes.get(to).receive(from.self, from.index, body));
    }

    private void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + delayNanos, nextOrder++, action));
    }

    private static int indexOf(PeerAddress address) {
        return address.port() - 1;
    }

    private static PeerAddress seedAddress(int index) {
        return new PeerAddress("10.20.30." + index % 250, index + 1);
    }
}
