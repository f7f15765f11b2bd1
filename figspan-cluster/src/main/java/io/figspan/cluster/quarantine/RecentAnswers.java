package io.figspan.cluster.quarantine;

import io.figspan.core.id.PromptPartId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The prompt parts on which answers have begun lately at this host. */
final class RecentAnswers {
    /** A part that was sound this long ago is taken to be sound. */
    static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Bounds the table; the part whose latest answer is the oldest makes room. */
    static final int MAX_PARTS = 1_024;

    private final Map<PromptPartId, Long> lastBeganNanos = new LinkedHashMap<>();

    void record(PromptPartId part, long nowNanos) {
        lastBeganNanos.remove(part);
        lastBeganNanos.put(part, nowNanos);
        if (lastBeganNanos.size() > MAX_PARTS) {
            lastBeganNanos.remove(lastBeganNanos.keySet().iterator().next());
        }
    }

    boolean hasBegun(PromptPartId part, long nowNanos) {
        Long beganNanos = lastBeganNanos.get(part);
        return beganNanos != null && nowNanos - beganNanos < RECENT_NANOS;
    }
}
