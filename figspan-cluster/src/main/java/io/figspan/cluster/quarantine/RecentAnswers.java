package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The requests, or the prompt parts, that were lately found not to crash servers at this host. */
final class RecentAnswers {
    /** What was sound this long ago is taken to be sound. */
    static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Bounds the table; the entry whose latest answer is the oldest is evicted. */
    static final int MAX_ENTRIES = 16_384;

    private final Map<SuspectId, Long> lastNanos = new LinkedHashMap<>();

    void record(SuspectId sound, long nowNanos) {
        lastNanos.remove(sound);
        lastNanos.put(sound, nowNanos);
        Iterator<Long> oldest = lastNanos.values().iterator();
        while (nowNanos - oldest.next() >= RECENT_NANOS || lastNanos.size() > MAX_ENTRIES) {
            oldest.remove();
        }
    }

    boolean isRecent(SuspectId suspect, long nowNanos) {
        Long atNanos = lastNanos.get(suspect);
        return atNanos != null && nowNanos - atNanos < RECENT_NANOS;
    }
}
