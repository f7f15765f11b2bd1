package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** When a single request with a quarantined suspect is sent, to find out whether it still crashes servers. */
final class TrialSchedule {
    /** Time from the latest crash to the first trial of a suspect with {@link CrashAttribution#MIN_CRASHES} crashes. */
    static final long FIRST_TRIAL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Factor of the delay for each further crash. */
    static final int TRIAL_DELAY_FACTOR = 4;

    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private final Map<SuspectId, Long> lastTrialNanos = new HashMap<>();

    void recordTrial(Suspect suspect, long nowNanos) {
        lastTrialNanos.put(suspect.id(), nowNanos);
    }

    /** Forgets the trials of all other suspects. */
    void retain(Predicate<SuspectId> isKnown) {
        lastTrialNanos.keySet().removeIf(isKnown.negate());
    }

    boolean isDue(Suspect suspect, long nowNanos) {
        return suspect.kind().hasTrials() && nowNanos - nextTrialNanos(suspect) >= 0;
    }

    /** Time until the next trial; empty if there is none. */
    OptionalLong retryAfterMs(Suspect suspect, long nowNanos) {
        if (!suspect.kind().hasTrials()) {
            return OptionalLong.empty();
        }
        long untilTrialMs = TimeUnit.NANOSECONDS.toMillis(nextTrialNanos(suspect) - nowNanos);
        return OptionalLong.of(Math.max(MIN_RETRY_AFTER_MS, untilTrialMs));
    }

    private long nextTrialNanos(Suspect suspect) {
        long afterCrash = suspect.lastCrashNanos() + delayNanos(suspect.crashCount());
        Long last = lastTrialNanos.get(suspect.id());
        return last == null ? afterCrash : Math.max(afterCrash, last + FIRST_TRIAL_DELAY_NANOS);
    }

    private static long delayNanos(int crashes) {
        long delayNanos = FIRST_TRIAL_DELAY_NANOS;
        for (int further = CrashAttribution.MIN_CRASHES; further < crashes; further++) {
            delayNanos *= TRIAL_DELAY_FACTOR;
        }
        return Math.min(delayNanos, SuspectTable.QUARANTINE_EXPIRY_NANOS);
    }
}
