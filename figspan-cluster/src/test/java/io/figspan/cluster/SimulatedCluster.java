package io.figspan.cluster;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.loan.LimitShares;
import io.figspan.cluster.membership.MembershipConfig;
import io.figspan.cluster.message.Bytes;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.cluster.spread.SettingsContent;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.BackendIncarnation;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * Simulates hosts in logical time from one seed. Links lose, delay, duplicate and block messages, and can have a
 * bandwidth.
 */
public final class SimulatedCluster {
    private static final int ZONES = 3;
    private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** Assumed size of a frame without a settings part, and of the fields and headers around one. */
    private static final int CONTROL_FRAME_BYTES = 300;

    public final List<Node> nodes = new ArrayList<>();
    public long nowNanos;
    public double lossProbability;
    public double duplicationProbability;
    public long extraDelayNanos;
    /** Bandwidth of each host's link in the sending direction; 0 for links without a limit. */
    public long uplinkBitsPerSecond;

    public BiPredicate<Integer, Integer> blocked = (from, to) -> false;
    /** Version that the configuration service returns; null while it is down. */
    public SettingsContent service = SettingsContent.NONE;

    private final SplittableRandom random;
    private final List<PeerAddress> seeds;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
    private final Map<Long, Long> lastArrivals = new HashMap<>();
    private final Map<Integer, SimulatedUplink> uplinks = new HashMap<>();
    private long nextOrder;

    private record Event(long atNanos, long order, Runnable action) {}

    /** One host with its current incarnation. */
    public final class Node {
        public final int index;
        public ClusterHost host;
        public boolean alive;
        public boolean watching;
        public boolean superseded;
        public SettingsVersion inForce = SettingsVersion.NONE;
        public final Set<BackendIncarnation> leaving = new HashSet<>();
        private long incarnation;
        private long pausedUntilNanos;
        private final List<Runnable> deferredWhilePaused = new ArrayList<>();

        Node(int index) {
            this.index = index;
        }

        public Peer peer() {
            return host.membership().self();
        }

        public void start() {
            incarnation = 1_000 + TimeUnit.NANOSECONDS.toMillis(nowNanos);
            Peer self = new Peer(
                    new HostIncarnation(HostId.of("h" + index), incarnation),
                    AvailabilityZoneId.of("az" + index % ZONES),
                    address(index));
            host = new ClusterHost(self, seeds, MembershipConfig.DEFAULTS, new NoShares(), random.split(), nowNanos);
            alive = true;
            watching = false;
            superseded = false;
            inForce = SettingsVersion.NONE;
            leaving.clear();
            schedule(random.nextLong(ClusterHost.TICK_NANOS), tickTask(incarnation));
        }

        public void kill() {
            alive = false;
        }

        public void pause(long nanos) {
            pausedUntilNanos = nowNanos + nanos;
            schedule(nanos, () -> {
                List<Runnable> waiting = new ArrayList<>(deferredWhilePaused);
                deferredWhilePaused.clear();
                waiting.forEach(Runnable::run);
            });
        }

        public boolean isPaused() {
            return nowNanos < pausedUntilNanos;
        }

        public Set<String> liveView() {
            Set<String> view = new TreeSet<>();
            host.membership().live().forEach(peer -> view.add(peer.incarnation().toString()));
            return view;
        }

        public void execute(List<ClusterAction> actions, int replyTo) {
            for (ClusterAction action : actions) {
                if (action instanceof ClusterAction.Send send) {
                    deliver(index, send.to().port() - 1, send.message());
                } else if (action instanceof ClusterAction.Reply reply) {
                    deliver(index, replyTo, reply.message());
                } else if (action instanceof ClusterAction.BackendLeaving backend) {
                    leaving.add(backend.backend());
                } else if (action instanceof ClusterAction.Superseded) {
                    superseded = true;
                } else if (action instanceof ClusterAction.WatchConfigurationService watch) {
                    watching = watch.watch();
                    readService();
                } else if (action instanceof ClusterAction.ReadConfigurationService) {
                    readService();
                } else if (action instanceof ClusterAction.AdoptSettings adopt) {
                    adopt(adopt.content());
                }
            }
        }

        void readService() {
            if (service != null && service.version().isNewerThan(SettingsVersion.NONE)) {
                execute(host.settingsRead(service, nowNanos), index);
            }
        }

        private void adopt(SettingsContent content) {
            if (content.parts().containsKey("invalid")) {
                host.rejected(content.version());
                return;
            }
            if (!content.version().isNewerThan(inForce)) {
                throw new AssertionError("h" + index + " went from " + inForce + " to " + content.version());
            }
            inForce = content.version();
            execute(host.adopted(content.version(), nowNanos), index);
        }

        private Runnable tickTask(long ownerIncarnation) {
            return () -> {
                if (!alive || incarnation != ownerIncarnation) {
                    return;
                }
                if (isPaused()) {
                    deferredWhilePaused.add(tickTask(ownerIncarnation));
                    return;
                }
                execute(host.tick(nowNanos), index);
                schedule(ClusterHost.TICK_NANOS, tickTask(ownerIncarnation));
            };
        }

        private void receive(Peer from, PeerMessage message) {
            if (!alive) {
                return;
            }
            if (isPaused()) {
                deferredWhilePaused.add(() -> receive(from, message));
                return;
            }
            execute(host.receive(from, message, nowNanos), from.address().port() - 1);
        }
    }

    private static final class NoShares implements LimitShares {
        @Override
        public double ownTokensPerSecond(OrganisationId organisation, long atNanos) {
            return 0;
        }

        @Override
        public double usedTokensPerSecond(OrganisationId organisation, long atNanos) {
            return 0;
        }
    }

    public SimulatedCluster(int size, long seed) {
        random = new SplittableRandom(seed);
        seeds = List.of(address(0), address(1), address(2));
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
        }
        nodes.forEach(Node::start);
    }

    /** Content of a version with a large part that changes in one line, and a small part. */
    public static SettingsContent content(long version) {
        String large = "[fleet]\n" + "runner = \"engine group with some text\"\n".repeat(200);
        String small = "version = " + version + "\n";
        return SettingsContent.of(
                new SettingsVersion(version), Map.of("fleet", bytes(large + small), "small", bytes(small)));
    }

    public static Bytes bytes(String text) {
        return Bytes.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    public void publish(SettingsContent content) {
        service = content;
        nodes.stream()
                .filter(node -> node.alive && node.watching && !node.isPaused())
                .forEach(Node::readService);
    }

    public void run(long seconds) {
        runUntil(nowNanos + TimeUnit.SECONDS.toNanos(seconds));
    }

    public void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }

    /** Bytes that all hosts have sent over links with a bandwidth. */
    public long sentBytes() {
        return uplinks.values().stream().mapToLong(SimulatedUplink::sentBytes).sum();
    }

    /** The incarnations that are actually live, as the expected view of each process. */
    public Set<String> expectedView() {
        Set<String> live = new TreeSet<>();
        nodes.stream()
                .filter(node -> node.alive
                        && !node.superseded
                        && !node.host.membership().isStopped())
                .forEach(node -> live.add(node.peer().incarnation().toString()));
        return live;
    }

    /** Runs until the view of each running process equals the expected one; fails after the limit. */
    public void requireConvergenceWithin(long limitSeconds) {
        for (long second = 0; second < limitSeconds; second++) {
            run(1);
            if (running().allMatch(node -> node.liveView().equals(expectedView()))) {
                return;
            }
        }
        StringBuilder differences = new StringBuilder();
        running().filter(node -> !node.liveView().equals(expectedView())).forEach(node -> differences
                .append("h")
                .append(node.index)
                .append(" sees ")
                .append(node.liveView()));
        throw new AssertionError("after " + limitSeconds + " s " + differences + " instead of " + expectedView());
    }

    public java.util.stream.Stream<Node> running() {
        return nodes.stream()
                .filter(node -> node.alive
                        && !node.isPaused()
                        && !node.host.membership().isStopped());
    }

    private void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + delayNanos, nextOrder++, action));
    }

    private void deliver(int from, int to, PeerMessage message) {
        if (blocked.test(from, to) || random.nextDouble() < lossProbability) {
            return;
        }
        Peer sender = nodes.get(from).peer();
        int copies = random.nextDouble() < duplicationProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (uplinkBitsPerSecond > 0) {
                uplink(from).send(to, frameBytes(message), () -> arrive(sender, from, to, message));
            } else {
                arrive(sender, from, to, message);
            }
        }
    }

    private void arrive(Peer sender, int from, int to, PeerMessage message) {
        long delayNanos = arrivalNanos(from, to) - nowNanos;
        schedule(delayNanos, () -> {
            if (!blocked.test(from, to)) {
                nodes.get(to).receive(sender, message);
            }
        });
    }

    private SimulatedUplink uplink(int host) {
        return uplinks.computeIfAbsent(host, ignored -> new SimulatedUplink(uplinkBitsPerSecond, this::schedule));
    }

    private static int frameBytes(PeerMessage message) {
        return message instanceof PeerMessage.SettingsPart part
                ? CONTROL_FRAME_BYTES + part.change().content().size()
                : CONTROL_FRAME_BYTES;
    }

    /** Arrival time of a message. It preserves the order of a connection unless extra delay is set, which reorders. */
    private long arrivalNanos(int from, int to) {
        long atNanos = nowNanos + 1 + random.nextLong(MAX_DELAY_NANOS + extraDelayNanos);
        if (extraDelayNanos > 0) {
            return atNanos;
        }
        return lastArrivals.merge((long) from * nodes.size() + to, atNanos, (last, next) -> Math.max(last + 1, next));
    }

    private static PeerAddress address(int index) {
        return new PeerAddress("127.0.0.1", index + 1);
    }
}
