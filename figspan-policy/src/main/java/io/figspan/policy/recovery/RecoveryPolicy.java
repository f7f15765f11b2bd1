package io.figspan.policy.recovery;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.RunState;
import io.figspan.core.time.Deadline;
import io.figspan.policy.placement.EngineSpeed;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides whether a stream continues elsewhere after its engine died, and when an availability zone that came back gets
 * work again.
 *
 * @param speed speed of the engines
 * @param margin factor on the predicted duration, at least 1
 */
public record RecoveryPolicy(EngineSpeed speed, double margin) {
    /** Time over which hosts return to an availability zone, so that its cold caches do not meet the full load. */
    public static final long ZONE_RETURN_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long RETRY_AFTER_MS = 1_000;

    /**
     * A stream whose engine died.
     *
     * @param promptTokens length of the prompt
     * @param sentTokens tokens that the caller has got
     * @param outputTokens tokens to generate in all
     * @param exportedKvTokens tokens in the last exported KV cache that can still be reached; 0 when there is none
     * @param aheadTokens backlog of the engine that would take over
     */
    public record InterruptedStream(
            long promptTokens,
            long sentTokens,
            long outputTokens,
            long exportedKvTokens,
            long aheadTokens,
            Deadline deadline) {}

    public Recovery decide(InterruptedStream stream, long nowNanos) {
        long knownTokens = stream.promptTokens() + stream.sentTokens();
        long importTokens = Math.min(stream.exportedKvTokens(), knownTokens - 1);
        long prefillTokens = knownTokens - importTokens;
        long neededNanos = (long) (margin
                * (speed.prefillNanos(stream.aheadTokens() + prefillTokens)
                        + speed.decodeNanos(stream.outputTokens() - stream.sentTokens())));
        long leftNanos = stream.deadline().atNanos() - nowNanos;
        if (neededNanos <= leftNanos) {
            return new Recovery.Continue(importTokens, prefillTokens);
        }
        String detail = "the engine died and continuing needs " + TimeUnit.NANOSECONDS.toMillis(neededNanos)
                + " ms, with " + stream.deadline().leftMs(nowNanos) + " ms left";
        return new Recovery.Fail(new Problem(ProblemKind.BACKEND_FAILED, detail, RunState.UNKNOWN, RETRY_AFTER_MS));
    }

    /** Time at which one host sends new work to a runner of a zone that came back at {@code backNanos}. */
    public static long returnAtNanos(long backNanos, RandomGenerator random) {
        return backNanos + random.nextLong(ZONE_RETURN_SPREAD_NANOS);
    }
}
