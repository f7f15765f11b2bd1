package io.figspan.cluster.quarantine;

import io.figspan.core.id.HostId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The hosts that have joined lately, to which the evidence is sent again since messages may be lost. */
final class NewHosts {
    static final int REPEATS = 3;
    static final long REPEAT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final Map<HostId, Pending> pending = new HashMap<>();

    private record Pending(int repeatsLeft, long dueNanos) {}

    void joined(HostId host, long nowNanos) {
        pending.put(host, new Pending(REPEATS, nowNanos + REPEAT_INTERVAL_NANOS));
    }

    /** Returns the hosts to which the evidence must be sent now. */
    List<HostId> takeDue(long nowNanos) {
        List<HostId> due = new ArrayList<>();
        Iterator<Map.Entry<HostId, Pending>> entries = pending.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<HostId, Pending> entry = entries.next();
            Pending left = entry.getValue();
            if (nowNanos - left.dueNanos() < 0) {
                continue;
            }
            due.add(entry.getKey());
            if (left.repeatsLeft() == 1) {
                entries.remove();
            } else {
                entry.setValue(new Pending(left.repeatsLeft() - 1, nowNanos + REPEAT_INTERVAL_NANOS));
            }
        }
        return due;
    }
}
