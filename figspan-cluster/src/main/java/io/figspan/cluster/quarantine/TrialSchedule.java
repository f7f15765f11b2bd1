package io.figspan.cluster.quarantine;

import io.figspan.cluster.message.SuspectId;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** When a single request that a verdict concerns is sent, to find out whether it still crashes servers. */
final class TrialSchedule {
    /** Time from the latest crash to the first trial of a suspect with {@link CrashAttribution#MIN_CRASHES} crashes. */
    static final long FIRST_TRIAL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Factor of the delay for each further crash. */
    static final int TRIAL_DELAY_FACTOR = 4;

    /** Delay while a verdict is ambiguous. Each trial that crashes a server makes it less so, so there are few. */
    static final long AMBIGUOUS_TRIAL_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The number of hosts that may try an ambiguous verdict doubles at this interval, since prompts may be rare. */
    private static final long TRIAL_HOSTS_DOUBLING_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_DOUBLINGS = 16;

    private static final long MIN_RETRY_AFTER_MS = 1_000;

    /** Time in which answers to other prompts usually end a tie. */
    private static final long TIE_RETRY_AFTER_MS = 2_000;

    private final Map<SuspectId, Long> lastTrialNanos = new HashMap<>();

    void recordTrial(Verdict verdict, long nowNanos) {
        lastTrialNanos.put(verdict.first(), nowNanos);
    }

    /** Forgets the trials of all other suspects. */
    void retain(Predicate<SuspectId> isKnown) {
        lastTrialNanos.keySet().removeIf(isKnown.negate());
    }

    boolean isDue(Verdict verdict, long nowNanos) {
        return verdict.kind().hasTrials() && nowNanos - nextTrialNanos(verdict) >= 0;
    }

    /** Number of hosts, in their order for the verdict, that may send a trial that is due. */
    int trialHosts(Verdict verdict, long nowNanos) {
        if (!verdict.isAmbiguous()) {
            return 1;
        }
        long doublings = (nowNanos - nextTrialNanos(verdict)) / TRIAL_HOSTS_DOUBLING_NANOS;
        return 1 << Math.min(MAX_DOUBLINGS, Math.max(0, doublings));
    }

    /** Time until the decision may have changed; empty if it won't. */
    OptionalLong retryAfterMs(Verdict verdict, long nowNanos) {
        if (!verdict.kind().hasTrials()) {
            return OptionalLong.empty();
        }
        if (verdict.isTie()) {
            return OptionalLong.of(TIE_RETRY_AFTER_MS);
        }
        long untilTrialMs = TimeUnit.NANOSECONDS.toMillis(nextTrialNanos(verdict) - nowNanos);
        return OptionalLong.of(Math.max(MIN_RETRY_AFTER_MS, untilTrialMs));
    }

    private long nextTrialNanos(Verdict verdict) {
        long intervalNanos = verdict.isAmbiguous() ? AMBIGUOUS_TRIAL_DELAY_NANOS : FIRST_TRIAL_DELAY_NANOS;
        long delayNanos = verdict.isAmbiguous() ? AMBIGUOUS_TRIAL_DELAY_NANOS : delayNanos(verdict.crashes());
        long afterCrash = verdict.lastCrashNanos() + delayNanos;
        Long last = lastTrialNanos.get(verdict.first());
        return last == null ? afterCrash : Math.max(afterCrash, last + intervalNanos);
    }

    private static long delayNanos(int crashes) {
        long delayNanos = FIRST_TRIAL_DELAY_NANOS;
        for (int further = CrashAttribution.MIN_CRASHES; further < crashes; further++) {
            delayNanos *= TRIAL_DELAY_FACTOR;
        }
        return Math.min(delayNanos, SuspectTable.QUARANTINE_EXPIRY_NANOS);
    }
}
