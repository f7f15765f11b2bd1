package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The suspects whose evidence must be sent to all hosts, each a few times since messages may be lost. */
final class EvidenceOutbox {
    static final int SENDS = 3;
    static final long REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Map<SuspectId, Pending> pending = new LinkedHashMap<>();

    private record Pending(int sendsLeft, long dueNanos) {}

    /** The evidence has changed at this host. */
    void changed(SuspectId suspect, long nowNanos) {
        pending.remove(suspect);
        pending.put(suspect, new Pending(SENDS, nowNanos));
    }

    /** Another host has sent all that this one knows of the suspect. */
    void sentByOther(SuspectId suspect) {
        pending.computeIfPresent(suspect, (id, left) -> next(left, left.dueNanos()));
    }

    List<SuspectId> due(long nowNanos) {
        return pending.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().dueNanos() >= 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    void sent(SuspectId suspect, long nowNanos) {
        pending.computeIfPresent(suspect, (id, left) -> next(left, nowNanos + REPEAT_INTERVAL_NANOS));
    }

    private static Pending next(Pending left, long dueNanos) {
        return left.sendsLeft() == 1 ? null : new Pending(left.sendsLeft() - 1, dueNanos);
    }

    void remove(SuspectId suspect) {
        pending.remove(suspect);
    }
}
