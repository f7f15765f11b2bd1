package io.figspan.bench.faults;

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
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.SettingsVersion;
import io.figspan.settings.SettingsHolder;
import io.figspan.settings.SettingsManifest;
import io.figspan.settings.SettingsPart;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * P8: three hosts and a configuration service that is down or stale at times. A run without faults checks the time
 * until a version is in force everywhere. A run with restarts and a stale service checks that a new process does not
 * start with a version older than its peers have. A run with all faults checks that no process goes back and that all
 * have the newest version in the end.
 */
final class SettingsScenario implements Scenario {
    private static final long FAULTS_UNTIL_MS = 20_000;
    private static final long DURATION_MS = 60_000;
    private static final long LAST_PUBLISH_MS = 22_000;
    private static final long TICK_MS = TimeUnit.NANOSECONDS.toMillis(ClusterHost.TICK_NANOS);
    /** The bound of the design page. */
    private static final long BOUND_MS = 3_000;
    /** Join of three hosts; no version is expected everywhere before. */
    private static final long START_MS = 5_000;

    private static final int PUBLISHED = 5;
    private static final int HOSTS = 3;

    private enum Mode {
        NO_FAULTS,
        RESTARTS,
        ALL_FAULTS
    }

    private final boolean trustsService;
    private final List<SettingsHost> hosts = new ArrayList<>();
    private FaultyProcess service;
    private Mode mode;
    private long newest;
    private long publishedAtMs;
    private long served;

    /** {@code trustsService}: the naive host, which takes whatever the configuration service says. */
    SettingsScenario(boolean trustsService) {
        this.trustsService = trustsService;
    }

    @Override
    public long durationMs() {
        return DURATION_MS;
    }

    @Override
    public void start(FaultRun faultRun) {
        mode = Mode.values()[faultRun.random().nextInt(Mode.values().length)];
        service = new FaultyProcess(faultRun, "configuration-service", () -> {});
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(new SettingsHost(faultRun, i));
        }
        if (mode == Mode.ALL_FAULTS) {
            for (int i = 0; i < HOSTS; i++) {
                FaultyProcess process = hosts.get(i).process;
                faultRun.scheduleFaults(process, FAULTS_UNTIL_MS, 0.3, 0.3);
                faultRun.scheduleCuts(process, hosts.get((i + 1) % HOSTS).process, FAULTS_UNTIL_MS, 0.3);
                faultRun.scheduleCuts(process, service, FAULTS_UNTIL_MS, 0.3);
            }
            faultRun.scheduleFaults(service, FAULTS_UNTIL_MS, 0.3, 0.3);
            faultRun.after(LAST_PUBLISH_MS, faultRun::endFaults);
        } else {
            faultRun.endFaults();
        }
        if (mode != Mode.NO_FAULTS) {
            faultRun.after(faultRun.random().nextLong(FAULTS_UNTIL_MS), () -> {
                served = Math.max(0, served - 2);
                faultRun.note("the service is stale at version " + served);
            });
        }
        if (mode == Mode.RESTARTS) {
            faultRun.scheduleFaults(hosts.get(0).process, FAULTS_UNTIL_MS, 1, 0);
        }
        publish(faultRun);
        for (int i = 1; i < PUBLISHED; i++) {
            faultRun.after(START_MS + i * (LAST_PUBLISH_MS - START_MS) / (PUBLISHED - 1), () -> publish(faultRun));
        }
    }

    private void publish(FaultRun faultRun) {
        newest++;
        served = newest;
        publishedAtMs = faultRun.nowMs();
        faultRun.note("version " + newest + " is published");
        for (SettingsHost host : hosts) {
            if (host.watching) {
                faultRun.sendOnce(service, host.process, () -> host.onService(newest));
            }
        }
    }

    @Override
    public void check(FaultRun faultRun) {
        hosts.forEach(SettingsHost::checkNotBack);
        long bound = publishedAtMs + BOUND_MS;
        if (mode == Mode.NO_FAULTS && faultRun.nowMs() > START_MS + BOUND_MS && faultRun.nowMs() > bound) {
            checkAllNewest(faultRun);
        }
    }

    @Override
    public void finish(FaultRun faultRun) {
        checkAllNewest(faultRun);
    }

    private void checkAllNewest(FaultRun faultRun) {
        for (SettingsHost host : hosts) {
            if (host.version() != newest) {
                faultRun.violate(
                        Count.SETTINGS_LATE, host.process.name() + " has " + host.version() + " not " + newest);
            }
        }
    }

    private static SettingsPart part(long version) {
        return new SettingsPart("fleet.toml", "[fleet]\nprompts.deadlineMs = " + (1_000 + version) + "\n");
    }

    private static SettingsContent content(long version) {
        return SettingsContent.of(
                new SettingsVersion(version),
                Map.of("fleet.toml", Bytes.copyOf(part(version).utf8())));
    }

    /** A host with the real protocols and the real holder of settings, or the naive one. */
    private final class SettingsHost {
        private final FaultRun faultRun;
        private final int index;
        private final FaultyProcess process;
        private ClusterHost cluster;
        private SettingsHolder holder;
        private long naiveVersion;
        private long highestSeen;
        private boolean watching;

        SettingsHost(FaultRun faultRun, int index) {
            this.faultRun = faultRun;
            this.index = index;
            this.process = new FaultyProcess(faultRun, "h" + index, this::reset);
            reset();
        }

        long version() {
            return trustsService ? naiveVersion : holder.version().number();
        }

        private void reset() {
            holder = new SettingsHolder();
            naiveVersion = 0;
            highestSeen = mode == Mode.RESTARTS ? versionOfPeers() : 0;
            watching = false;
            List<PeerAddress> seeds = new ArrayList<>();
            for (int i = 0; i < HOSTS; i++) {
                seeds.add(address(i));
            }
            cluster = new ClusterHost(
                    peer(), seeds, MembershipConfig.DEFAULTS, new NoShares(), faultRun.random(), faultRun.nowNanos());
            process.every(TICK_MS, () -> carryOut(cluster.tick(faultRun.nowNanos()), null));
            if (trustsService) {
                process.every(1_000, this::readService);
            }
        }

        private long versionOfPeers() {
            return hosts.stream()
                    .filter(host -> host != this && host.process.isAlive())
                    .mapToLong(SettingsHost::version)
                    .max()
                    .orElse(0);
        }

        private Peer peer() {
            return new Peer(process.incarnation(), AvailabilityZoneId.of("az" + index), address(index));
        }

        void checkNotBack() {
            if (version() > 0 && version() < highestSeen) {
                faultRun.violate(Count.SETTINGS_BACK, process.name() + " from " + highestSeen + " to " + version());
            }
            if (version() > 0) {
                highestSeen = Math.max(highestSeen, version());
            }
        }

        private void carryOut(List<ClusterAction> actions, SettingsHost repliesTo) {
            for (ClusterAction action : actions) {
                if (action instanceof ClusterAction.Send send) {
                    send(hosts.get(send.to().port() - 1), send.message());
                } else if (action instanceof ClusterAction.Reply reply) {
                    send(repliesTo, reply.message());
                } else if (action instanceof ClusterAction.WatchConfigurationService watch) {
                    watching = watch.watch();
                    watchService();
                } else if (action instanceof ClusterAction.ReadConfigurationService) {
                    readService();
                } else if (action instanceof ClusterAction.AdoptSettings adopt) {
                    adopt(adopt.content());
                }
            }
        }

        private void send(SettingsHost to, PeerMessage message) {
            Peer self = peer();
            faultRun.send(
                    process,
                    to.process,
                    () -> to.carryOut(to.cluster.receive(self, message, faultRun.nowNanos()), this));
        }

        /** A watch that broke is made again, so that a lost notice costs one read. */
        private void watchService() {
            if (watching) {
                readService();
                process.after(1_000, this::watchService);
            }
        }

        private void readService() {
            faultRun.sendOnce(process, service, () -> {
                long version = served;
                faultRun.sendOnce(service, process, () -> onService(version));
            });
        }

        void onService(long version) {
            if (version == 0) {
                return;
            }
            if (trustsService) {
                naiveVersion = version;
                return;
            }
            carryOut(cluster.settingsRead(content(version), faultRun.nowNanos()), null);
        }

        private void adopt(SettingsContent offered) {
            List<SettingsPart> parts = offered.parts().entrySet().stream()
                    .map(part -> SettingsPart.of(part.getKey(), part.getValue().toArray()))
                    .toList();
            SettingsManifest manifest = SettingsManifest.of(offered.version().number(), parts);
            if (holder.offer(manifest, parts).isOk()) {
                carryOut(cluster.adopted(offered.version(), faultRun.nowNanos()), null);
            } else {
                cluster.rejected(offered.version());
            }
        }
    }

    private static PeerAddress address(int index) {
        return new PeerAddress("127.0.0.1", index + 1);
    }

    /** The scenario lends nothing. */
    private static final class NoShares implements LimitShares {
        @Override
        public double ownTokensPerSecond(OrganisationId organisation, long nowNanos) {
            return 0;
        }

        @Override
        public double usedTokensPerSecond(OrganisationId organisation, long nowNanos) {
            return 0;
        }
    }
}
