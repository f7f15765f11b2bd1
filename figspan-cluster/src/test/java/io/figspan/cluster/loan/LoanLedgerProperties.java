package io.figspan.cluster.loan;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.action.ClusterAction;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Compares hosts that share a limit through loans with one central token bucket for the whole limit, which must admit
 * everything that the hosts admit together.
 */
class LoanLedgerProperties {
    private static final OrganisationId ORGANISATION = OrganisationId.of("org");
    private static final int HOME_HOSTS = 3;
    private static final int HOSTS = 5;
    private static final long LIMIT_TOKENS_PER_SECOND = 9_000;
    private static final double BURST_SECONDS = 2;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int STEPS = 600;
    /** Maximum relative clock drift of a host in either direction; the clock margin tolerates it. */
    private static final double MAX_CLOCK_DRIFT = 0.02;

    /** Token bucket without debt, whose capacity is proportional to its rate. */
    private static final class Bucket {
        private double rate;
        private double level;
        private double atSeconds;

        void setRate(double newRate, double nowSeconds) {
            refill(nowSeconds);
            rate = Math.max(0, newRate);
            level = Math.min(level, rate * BURST_SECONDS);
        }

        boolean tryTake(double tokens, double nowSeconds) {
            refill(nowSeconds);
            if (level < tokens) {
                return false;
            }
            level -= tokens;
            return true;
        }

        void refill(double nowSeconds) {
            level = Math.min(rate * BURST_SECONDS, level + Math.max(0, nowSeconds - atSeconds) * rate);
            atSeconds = Math.max(atSeconds, nowSeconds);
        }
    }

    /** One host. Its process has its own ledger, token bucket and clock. */
    private final class Host implements LimitShares {
        private final int index;
        private final double clockRate;
        private long incarnation;
        private LoanLedger ledger;
        private Bucket bucket;
        private long usableFromNanos;
        private int pausedSteps;
        private long admitted;

        Host(int index, Random random) {
            this.index = index;
            this.clockRate = 1 + MAX_CLOCK_DRIFT * (2 * random.nextDouble() - 1);
            start(false);
        }

        void start(boolean restarted) {
            incarnation++;
            ledger = new LoanLedger(HostId.of("h" + index), this, incarnation << 20, clock());
            bucket = new Bucket();
            bucket.atSeconds = clock() / 1e9;
            usableFromNanos = restarted ? clock() + LoanLedger.RESTART_WAIT_NANOS : clock();
            apply(0, clock());
        }

        long clock() {
            return (long) (nowNanos * clockRate);
        }

        @Override
        public double ownTokensPerSecond(OrganisationId organisation, long atNanos) {
            boolean usable = index < HOME_HOSTS && atNanos - usableFromNanos >= 0;
            return usable ? (double) LIMIT_TOKENS_PER_SECOND / HOME_HOSTS : 0;
        }

        @Override
        public double usedTokensPerSecond(OrganisationId organisation, long atNanos) {
            return 0;
        }

        void apply(long netLoanRate, long atNanos) {
            bucket.setRate(ownTokensPerSecond(ORGANISATION, atNanos) + netLoanRate, atNanos / 1e9);
        }

        void execute(List<ClusterAction> actions, int replyTo) {
            for (ClusterAction action : actions) {
                if (action instanceof ClusterAction.NetLoanRateChanged changed) {
                    apply(changed.tokensPerSecond(), changed.atNanos());
                } else if (action instanceof ClusterAction.Send send) {
                    post(index, send.to().port() - 1, send.message());
                } else if (action instanceof ClusterAction.Reply reply) {
                    post(index, replyTo, reply.message());
                }
            }
        }

        void use(long tokens) {
            execute(ledger.tick(clock()), index);
            apply(ledger.netLoanRate(ORGANISATION, clock()), clock());
            if (bucket.tryTake((double) tokens, clock() / 1e9)) {
                admitted += tokens;
                admittedNow += tokens;
            } else {
                execute(ledger.request(ORGANISATION, 2_000, homeHosts, clock()), index);
            }
        }
    }

    private record InFlight(long atNanos, long order, int from, int to, PeerMessage message) {}

    private final List<Host> hosts = new ArrayList<>();
    private final List<Peer> homeHosts = new ArrayList<>();
    private PriorityQueue<InFlight> network;
    private Random random;
    private long nowNanos;
    private long order;
    private long admittedNow;
    private boolean partitioned;
    private double faultProbability;

    @Property(seed = "31", tries = 150)
    void hostsTogetherNeverExceedTheLimit(@ForAll long seed) {
        run(seed, 0.2, true);
    }

    @Test
    void aHostThatIsNotAHomeHostAdmitsOnLoans() {
        run(1, 0, false);
        assertTrue(hosts.get(HOSTS - 1).admitted > LIMIT_TOKENS_PER_SECOND, "admitted " + hosts.get(4).admitted);
    }

    private void run(long seed, double faults, boolean homeHostsBusy) {
        begin(seed, faults);
        Bucket central = new Bucket();
        central.setRate(LIMIT_TOKENS_PER_SECOND * (1 + MAX_CLOCK_DRIFT), 0);
        for (int step = 0; step < STEPS; step++) {
            nowNanos += STEP_NANOS;
            admittedNow = 0;
            if (faults > 0) {
                injectFaults();
            }
            deliverDue();
            requireRatesWithinLimit(step);
            for (Host host : hosts) {
                boolean busy = host.index >= HOME_HOSTS || (homeHostsBusy && random.nextInt(3) == 0);
                if (host.pausedSteps > 0) {
                    host.pausedSteps--;
                } else if (busy) {
                    host.use(1 + random.nextInt(400));
                }
            }
            requireRatesWithinLimit(step);
            assertTrue(central.tryTake((double) admittedNow, nowNanos / 1e9), "step " + step + " exceeds the limit");
        }
    }

    /** Includes the rates that paused hosts would use if they resumed. The bucket alone misses unused excess rates. */
    private void requireRatesWithinLimit(int step) {
        double sum = 0;
        for (Host host : hosts) {
            long clock = host.clock();
            sum += Math.max(
                    0, host.ownTokensPerSecond(ORGANISATION, clock) + host.ledger.netLoanRate(ORGANISATION, clock));
        }
        assertTrue(sum <= LIMIT_TOKENS_PER_SECOND, "step " + step + ": rates add up to " + sum);
    }

    private void begin(long seed, double faults) {
        random = new Random(seed);
        network =
                new PriorityQueue<>(Comparator.comparingLong(InFlight::atNanos).thenComparingLong(InFlight::order));
        nowNanos = 0;
        partitioned = false;
        faultProbability = faults;
        hosts.clear();
        homeHosts.clear();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new Host(i, random));
        }
        for (int i = 0; i < HOME_HOSTS; i++) {
            homeHosts.add(peer(i));
        }
    }

    private void injectFaults() {
        if (random.nextInt(40) == 0) {
            partitioned = !partitioned;
        }
        if (random.nextInt(30) == 0) {
            hosts.get(random.nextInt(HOSTS)).pausedSteps = random.nextInt(100);
        }
        if (random.nextInt(60) == 0) {
            hosts.get(random.nextInt(HOSTS)).start(true);
        }
    }

    private void post(int from, int to, PeerMessage message) {
        boolean blocked = partitioned && from % 2 != to % 2;
        if (blocked || random.nextDouble() < faultProbability) {
            return;
        }
        int copies = random.nextDouble() < faultProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean late = random.nextDouble() < faultProbability;
            long delayNanos = random.nextLong(late ? TimeUnit.SECONDS.toNanos(4) : TimeUnit.MILLISECONDS.toNanos(5));
            network.add(new InFlight(nowNanos + delayNanos, order++, from, to, message));
        }
    }

    private void deliverDue() {
        List<InFlight> deferred = new ArrayList<>();
        while (!network.isEmpty() && network.peek().atNanos() <= nowNanos) {
            InFlight message = network.poll();
            Host to = hosts.get(message.to());
            if (to.pausedSteps > 0) {
                deferred.add(message);
            } else {
                to.execute(to.ledger.receive(peer(message.from()), message.message(), to.clock()), message.from());
            }
        }
        network.addAll(deferred);
    }

    private static Peer peer(int index) {
        return new Peer(
                new HostIncarnation(HostId.of("h" + index), 1),
                AvailabilityZoneId.of("az1"),
                new PeerAddress("127.0.0.1", index + 1));
    }
}
