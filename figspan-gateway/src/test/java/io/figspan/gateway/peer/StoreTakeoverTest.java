package io.figspan.gateway.peer;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.StoreRevision;
import io.figspan.gateway.store.StoreWatchPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
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
    private static final long FIRST_REPORTS_MS = 2_000;
    private static final long CALM_MS = 30_000;

    /** A host that watches the store; every watch ends without a change. */
    private static final class WatchingHost {
        final HostIncarnation self;
        final long firstReportMs;
        final long waitMs;
        long callEndsMs;
        long lastResponseMs;
        long reportSequence;

        WatchingHost(int number, long waitMs, SplittableRandom random) {
            self = new HostIncarnation(HostId.of("host-" + number), 1);
            firstReportMs = random.nextLong(REPORT_INTERVAL_MS);
            this.waitMs = waitMs;
            callEndsMs = random.nextLong(waitMs);
        }

        void advance(long nowMs) {
            if (nowMs == callEndsMs) {
                lastResponseMs = nowMs;
                callEndsMs = nowMs + waitMs + STORE_RESPONSE_MS;
            }
        }

        PeerMessage.WorkReport report(long nowMs) {
            return new PeerMessage.WorkReport(
                    ++reportSequence, StoreRevision.NONE, StoreRevision.NONE, nowMs - lastResponseMs, List.of());
        }
    }

    /** The watching hosts of a cell, as another host of the cell sees them. */
    private static final class Cell {
        private final List<WatchingHost> watching = new ArrayList<>();
        private final PeerReports reports = new PeerReports();
        private final StoreWatchPolicy policy = new StoreWatchPolicy();
        private final long firstUpdateMs;

        Cell(SplittableRandom random) {
            for (int number = 0; number < WATCHING; number++) {
                watching.add(new WatchingHost(number, policy.watchWaitMs(number, CELL_SIZE), random));
            }
            firstUpdateMs = random.nextLong(UPDATE_INTERVAL_MS);
        }

        /** Advances to the next millisecond. Returns whether the other host watches the store from now on. */
        boolean takesOver(long nowMs, boolean storeResponds) {
            long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
            for (WatchingHost host : watching) {
                if (storeResponds) {
                    host.advance(nowMs);
                }
                if (nowMs % REPORT_INTERVAL_MS == host.firstReportMs) {
                    reports.receive(host.self, host.report(nowMs), nowNanos);
                }
            }
            if (nowMs < FIRST_REPORTS_MS || nowMs % UPDATE_INTERVAL_MS != firstUpdateMs) {
                return false;
            }
            Set<HostId> hosts = watching.stream().map(host -> host.self.host()).collect(Collectors.toSet());
            return policy.shouldWatch(WATCHING, CELL_SIZE, reports.storeAgesMs(hosts, nowNanos), nowNanos);
        }
    }

    /** Time from the moment at which the store stops responding to all watching hosts until another host watches it. */
    private static long takeoverMs(SplittableRandom random) {
        Cell cell = new Cell(random);
        long silentFromMs = 10_000 + random.nextLong(REPORT_INTERVAL_MS * UPDATE_INTERVAL_MS);
        for (long nowMs = 0; ; nowMs++) {
            if (cell.takesOver(nowMs, nowMs < silentFromMs)) {
                return nowMs - silentFromMs;
            }
        }
    }

    @Test
    void theOtherHostsTakeOverWithinTheTimeInWhichADrainMustBeKnown() {
        for (int seed = 0; seed < SEEDS; seed++) {
            long takenOverMs = takeoverMs(new SplittableRandom(seed));
            assertTrue(
                    takenOverMs >= 0 && takenOverMs + READ_MS < SHORTEST_DRAIN_MS,
                    "seed " + seed + ": " + takenOverMs + " ms");
        }
    }

    @Test
    void theOtherHostsRestWhileTheWatchingHostsReceiveResponses() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Cell cell = new Cell(new SplittableRandom(seed));
            for (long nowMs = 0; nowMs < CALM_MS; nowMs++) {
                assertFalse(cell.takesOver(nowMs, true), "seed " + seed + ", " + nowMs + " ms");
            }
        }
    }
}
