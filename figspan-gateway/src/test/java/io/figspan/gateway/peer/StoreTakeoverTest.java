package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.gateway.protocol.StoreProtocol.Page;
import io.figspan.gateway.store.PrefixWatcher;
import io.figspan.gateway.store.PrefixWatcher.Action;
import io.figspan.gateway.store.StoreWatchPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Guards against a cell that is notified too late because the hosts that watch the store receive nothing from it. */
class StoreTakeoverTest {
    /** Shortest time on any site after which a draining server must get no more requests. */
    private static final long SHORTEST_DRAIN_MS = 2_000;

    /** Time for a response of the store on a new connection, and for reading it from there by the other hosts. */
    private static final long READ_MS = 100;

    private static final int SEEDS = 50;
    private static final int CELL_SIZE = 24;
    private static final int WATCHING = 3;
    private static final long STORE_RESPONSE_MS = 4;
    private static final long UPDATE_INTERVAL_MS = 200;
    private static final long REPORT_INTERVAL_MS = 320;

    /** A host that watches the store; every watch ends without a change. */
    private static final class WatchingHost {
        final HostIncarnation self;
        final long firstReportMs;
        final PrefixWatcher watcher;
        long callEndsMs;
        long lastResponseMs;
        long reportSequence;

        WatchingHost(int number, long waitMs, SplittableRandom random) {
            self = new HostIncarnation(HostId.of("host-" + number), 1);
            firstReportMs = random.nextLong(REPORT_INTERVAL_MS);
            watcher = new PrefixWatcher(random);
            watcher.pageRead(new Page(List.of(), false, 1));
            callEndsMs = random.nextLong(waitMs);
        }

        /** Whether the response of the store to the current call arrives at this time. */
        void advance(long nowMs) {
            if (nowMs == callEndsMs) {
                lastResponseMs = nowMs;
                callEndsMs = nowMs + waitMs(watcher) + STORE_RESPONSE_MS;
            }
        }

        PeerMessage.WorkReport report(long nowMs) {
            return new PeerMessage.WorkReport(++reportSequence, 1, 1, nowMs - lastResponseMs, List.of());
        }
    }

    private static long waitMs(PrefixWatcher watcher) {
        return ((Action.Watch) watcher.resume()).waitMs();
    }

    private static PrefixWatcher startedWatcher(SplittableRandom random) {
        PrefixWatcher watcher = new PrefixWatcher(random);
        watcher.pageRead(new Page(List.of(), false, 1));
        return watcher;
    }

    /** Time from the moment at which the store falls silent to all watching hosts until another host watches it. */
    private static long takeoverMs(SplittableRandom random) {
        long waitMs = waitMs(startedWatcher(random));
        List<WatchingHost> watching = new ArrayList<>();
        for (int number = 0; number < WATCHING; number++) {
            watching.add(new WatchingHost(number, waitMs, random));
        }
        PeerReports reports = new PeerReports();
        StoreWatchPolicy policy = new StoreWatchPolicy();
        long firstUpdateMs = random.nextLong(UPDATE_INTERVAL_MS);
        long silentFromMs = 10_000 + random.nextLong(waitMs);
        for (long nowMs = 0; ; nowMs++) {
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
            for (WatchingHost host : watching) {
                if (nowMs < silentFromMs) {
                    host.advance(nowMs);
                }
                if (nowMs % REPORT_INTERVAL_MS == host.firstReportMs) {
                    reports.receive(host.self, host.report(nowMs), nowNanos);
                }
            }
            if (nowMs < silentFromMs || nowMs % UPDATE_INTERVAL_MS != firstUpdateMs) {
                continue;
            }
            List<Long> agesMs = reports.storeAgesMs(
                    watching.stream().map(host -> host.self.host()).collect(Collectors.toSet()), nowNanos);
            if (policy.shouldWatch(WATCHING, CELL_SIZE, agesMs, nowNanos)) {
                return nowMs - silentFromMs;
            }
        }
    }

    @Test
    void theOtherHostsTakeOverWithinTheTimeInWhichADrainMustBeKnown() {
        for (int seed = 0; seed < SEEDS; seed++) {
            long takenOverMs = takeoverMs(new SplittableRandom(seed));
            assertTrue(takenOverMs + READ_MS < SHORTEST_DRAIN_MS, "seed " + seed + ": " + takenOverMs + " ms");
        }
    }
}
