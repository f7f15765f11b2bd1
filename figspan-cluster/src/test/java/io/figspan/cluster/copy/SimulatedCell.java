package io.figspan.cluster.copy;

import io.figspan.cluster.copy.CopyFetcher.Decision;
import io.figspan.cluster.message.Peer;
import io.figspan.cluster.message.PeerAddress;
import io.figspan.core.id.AvailabilityZoneId;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.StoreRevision;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Hosts of one cell in logical time. A few of them read a new version from the store; all others run a {@link
 * CopyFetcher} and read from each other through a {@link CopyTransferLimiter}. The transfers of a host share the
 * bandwidth of its link evenly, in each direction.
 */
final class SimulatedCell {
    private static final long STEP_MS = 2;
    private static final long REPORT_INTERVAL_MS = 320;

    /** The watching hosts get the store's notification within this time of each other. */
    private static final int NOTIFICATION_SPREAD_MS = 80;

    private static final StoreRevision OLD_REVISION = new StoreRevision(1, 1);
    private static final StoreRevision NEW_REVISION = new StoreRevision(1, 2);

    private final List<Host> hosts = new ArrayList<>();
    private final List<Transfer> transfers = new ArrayList<>();
    private final int copyBytes;
    private long nowMs;

    private static final class Host {
        final Peer peer;
        final CopyFetcher fetcher;
        final CopyTransferLimiter limiter = new CopyTransferLimiter();
        double linkBytesPerMs;
        long updateMs;
        long nextReportMs;
        StoreRevision revision = OLD_REVISION;
        int uploads;
        int downloads;

        Host(Peer peer, CopyFetcher fetcher, double linkBytesPerMs, long updateMs, long nextReportMs) {
            this.peer = peer;
            this.fetcher = fetcher;
            this.linkBytesPerMs = linkBytesPerMs;
            this.updateMs = updateMs;
            this.nextReportMs = nextReportMs;
        }
    }

    private static final class Transfer {
        final Host source;
        final Host reader;
        final CopyTransferLimiter.Transfer slot;
        final long startMs;
        double bytesLeft;

        Transfer(Host source, Host reader, CopyTransferLimiter.Transfer slot, long startMs, double bytes) {
            this.source = source;
            this.reader = reader;
            this.slot = slot;
            this.startMs = startMs;
            this.bytesLeft = bytes;
        }
    }

    SimulatedCell(int hostCount, int watchingCount, long linkBytesPerS, int copyBytes, RandomGenerator random) {
        double linkBytesPerMs = linkBytesPerS / 1_000.0;
        this.copyBytes = copyBytes;
        for (int index = 0; index < hostCount; index++) {
            boolean watches = index < watchingCount;
            long updateMs = watches ? random.nextInt(NOTIFICATION_SPREAD_MS) : Long.MAX_VALUE;
            hosts.add(new Host(
                    peer(index),
                    new CopyFetcher(random),
                    linkBytesPerMs,
                    updateMs,
                    random.nextLong(REPORT_INTERVAL_MS)));
        }
    }

    private static Peer peer(int index) {
        return new Peer(
                new HostIncarnation(HostId.of("host-" + index), 1),
                AvailabilityZoneId.of("zone"),
                new PeerAddress("10.0.0." + (index + 1), 7_000));
    }

    /** Gives the last hosts, which don't watch the store, slower links. */
    void slowLinks(int hostCount, long linkBytesPerS) {
        hosts.subList(hosts.size() - hostCount, hosts.size())
                .forEach(host -> host.linkBytesPerMs = linkBytesPerS / 1_000.0);
    }

    void runFor(long durationMs) {
        long endMs = nowMs + durationMs;
        while (nowMs < endMs) {
            step();
        }
    }

    /** The hosts that don't have the new version. */
    List<HostId> outdatedHosts() {
        return hosts.stream()
                .filter(host -> NEW_REVISION.isNewerThan(host.revision))
                .map(host -> host.peer.host())
                .toList();
    }

    private void step() {
        nowMs += STEP_MS;
        hosts.stream().filter(host -> host.updateMs <= nowMs).forEach(this::update);
        hosts.stream().filter(host -> host.nextReportMs <= nowMs).forEach(this::report);
        hosts.forEach(this::decide);
        checkUploads();
        transfers.forEach(this::transmit);
        List.copyOf(transfers).forEach(this::endIfDue);
    }

    /** Guards against a source whose link is shared by so many large copies that none gets through. */
    private void checkUploads() {
        for (Host host : hosts) {
            if (host.uploads > 1 && (long) host.uploads * copyBytes > CopyTransferLimiter.MAX_BYTES) {
                throw new AssertionError(host.uploads + " copies at once are sent by " + host.peer);
            }
        }
    }

    /** A new version is reported at once. */
    private void update(Host host) {
        host.revision = NEW_REVISION;
        host.updateMs = Long.MAX_VALUE;
        host.nextReportMs = nowMs;
    }

    private void report(Host from) {
        from.nextReportMs = nowMs + REPORT_INTERVAL_MS;
        for (Host host : hosts) {
            if (host != from) {
                host.fetcher.announced(from.peer, from.revision, host.revision, nowNanos());
            }
        }
    }

    private void decide(Host host) {
        if (host.fetcher.next(host.revision, false, nowNanos()) instanceof Decision.Read read) {
            beginTransfer(host, hostOf(read.source()));
        }
    }

    private void beginTransfer(Host reader, Host source) {
        Optional<CopyTransferLimiter.Transfer> slot = source.limiter.begin(copyBytes, nowNanos());
        if (slot.isEmpty()) {
            reader.fetcher.readEnded(source.peer, ReadResult.BUSY, nowNanos());
            return;
        }
        source.uploads++;
        reader.downloads++;
        transfers.add(new Transfer(source, reader, slot.get(), nowMs, copyBytes));
    }

    private Host hostOf(Peer peer) {
        return hosts.stream().filter(host -> host.peer.equals(peer)).findAny().orElseThrow();
    }

    private void transmit(Transfer transfer) {
        double uploadBytesPerMs = transfer.source.linkBytesPerMs / transfer.source.uploads;
        double downloadBytesPerMs = transfer.reader.linkBytesPerMs / transfer.reader.downloads;
        transfer.bytesLeft -= Math.min(uploadBytesPerMs, downloadBytesPerMs) * STEP_MS;
    }

    private void endIfDue(Transfer transfer) {
        if (transfer.bytesLeft <= 0) {
            end(transfer, ReadResult.COMPLETE);
            update(transfer.reader);
        } else if (nowMs - transfer.startMs >= CopyFetcher.READ_TIMEOUT_MS) {
            end(transfer, ReadResult.FAILED);
        }
    }

    private void end(Transfer transfer, ReadResult result) {
        transfers.remove(transfer);
        transfer.source.limiter.end(transfer.slot);
        transfer.source.uploads--;
        transfer.reader.downloads--;
        transfer.reader.fetcher.readEnded(transfer.source.peer, result, nowNanos());
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(nowMs);
    }
}
