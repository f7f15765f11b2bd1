package io.figspan.gateway.peer;

import io.figspan.cluster.message.PeerMessage;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The latest work report of each other host, and how long the hosts have been silent. Times are passed in. Not
 * thread-safe.
 */
final class PeerReports {
    /** Three report intervals; a host that should report and is silent for longer is not named to callers. */
    static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Two report intervals; a host that is silent for longer is not relied on for changes of the store. */
    static final long SOURCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** Work of a silent host is counted for as long as most requests last. */
    static final long WORK_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final Map<HostId, LatestReport> latestReports = new HashMap<>();

    /** What a report means for the known work of its sender. */
    enum Reception {
        /** The report is older than the latest one. */
        OUTDATED,

        /** Neither this report nor the one before has work. */
        NO_WORK,

        /** The work of the sender must be replaced. */
        WORK_CHANGED
    }

    /** The latest report of one host. */
    private static final class LatestReport {
        HostIncarnation incarnation;
        long sequence = -1;
        long receivedNanos;
        long storeAgeMs = -1;
        boolean hasWork = true;
        boolean silenceHandled;

        boolean isOutdated(HostIncarnation sender, PeerMessage.WorkReport received) {
            return sender.equals(incarnation) && received.sequence() <= sequence;
        }
    }

    /** Records a report. */
    Reception receive(HostIncarnation sender, PeerMessage.WorkReport received, long nowNanos) {
        LatestReport latest = latestReports.computeIfAbsent(sender.host(), ignored -> new LatestReport());
        if (latest.isOutdated(sender, received)) {
            return Reception.OUTDATED;
        }
        boolean hadWork = latest.hasWork;
        latest.incarnation = sender;
        latest.sequence = received.sequence();
        latest.receivedNanos = nowNanos;
        latest.silenceHandled = false;
        latest.storeAgeMs = received.storeAgeMs();
        latest.hasWork = !received.work().isEmpty();
        return hadWork || latest.hasWork ? Reception.WORK_CHANGED : Reception.NO_WORK;
    }

    boolean isReporting(HostId host, long nowNanos) {
        LatestReport latest = latestReports.get(host);
        return latest != null && isReporting(latest, nowNanos);
    }

    private static boolean isReporting(LatestReport latest, long nowNanos) {
        return nowNanos - latest.receivedNanos < REPORT_TIMEOUT_NANOS;
    }

    /** Age of the oldest among the latest reports, in milliseconds; 0 if there are none. */
    long oldestAgeMs(long nowNanos) {
        long oldestNanos = 0;
        for (LatestReport latest : latestReports.values()) {
            oldestNanos = Math.max(oldestNanos, nowNanos - latest.receivedNanos);
        }
        return TimeUnit.NANOSECONDS.toMillis(oldestNanos);
    }

    /**
     * For each of the hosts that reports and watches the store, the time since the store last responded to it, in
     * milliseconds.
     */
    List<Long> storeAgesMs(Set<HostId> hosts, long nowNanos) {
        List<Long> agesMs = new ArrayList<>();
        latestReports.forEach((host, latest) -> {
            boolean isRecent = nowNanos - latest.receivedNanos < SOURCE_TIMEOUT_NANOS;
            if (hosts.contains(host) && latest.storeAgeMs >= 0 && isRecent) {
                agesMs.add(latest.storeAgeMs + TimeUnit.NANOSECONDS.toMillis(nowNanos - latest.receivedNanos));
            }
        });
        return agesMs;
    }

    /** The hosts that report. */
    Set<HostId> reporting(long nowNanos) {
        Set<HostId> reporting = new HashSet<>();
        latestReports.forEach((host, latest) -> {
            if (isReporting(latest, nowNanos)) {
                reporting.add(host);
            }
        });
        return reporting;
    }

    /** The hosts among these that have stopped reporting since they were returned last. */
    Set<HostId> takeNewlySilent(Set<HostId> hosts, long nowNanos) {
        Set<HostId> silent = new HashSet<>();
        latestReports.forEach((host, latest) -> {
            if (hosts.contains(host) && !latest.silenceHandled && !isReporting(latest, nowNanos)) {
                latest.silenceHandled = true;
                silent.add(host);
            }
        });
        return silent;
    }

    /** Removes and returns the hosts whose work no longer counts. */
    List<HostId> takeExpired(long nowNanos) {
        List<HostId> expired = new ArrayList<>();
        for (Iterator<Map.Entry<HostId, LatestReport>> hosts =
                        latestReports.entrySet().iterator();
                hosts.hasNext(); ) {
            Map.Entry<HostId, LatestReport> host = hosts.next();
            if (nowNanos - host.getValue().receivedNanos >= WORK_EXPIRY_NANOS) {
                hosts.remove();
                expired.add(host.getKey());
            }
        }
        return expired;
    }
}
