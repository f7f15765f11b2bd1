package io.figspan.policy.recovery;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.error.RunState;
import io.figspan.core.time.Deadline;
import io.figspan.policy.placement.EngineSpeed;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides whether a stream resumes on another engine after its engine failed, and when a recovered availability zone
 * receives work again.
 *
 * @param speed throughput of the engines
 * @param margin factor by which the predicted duration is multiplied, at least 1
 */
public record RecoveryPolicy(EngineSpeed speed, double margin) {
    /**
     * Period over which hosts randomly return to a recovered availability zone, to protect its cold caches from full
     * load.
     */
    public static final long ZONE_RETURN_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final long RETRY_AFTER_MS = 1_000;

    /**
     * A stream whose engine failed.
     *
     * @param promptTokens length of the prompt
     * @param deliveredTokens generated tokens that the caller has received
     * @param outputTokens total number of tokens to generate
     * @param exportedKvTokens tokens in the last export of the KV cache that is still reachable; 0 if there is none
     * @param aheadTokens backlog of the engine that would resume the stream, in prompt tokens
     */
    public record InterruptedStream(
            long promptTokens,
            long deliveredTokens,
            long outputTokens,
            long exportedKvTokens,
            long aheadTokens,
            Deadline deadline) {}

    /** Decides on a stream; it resumes only if it is predicted to finish by its deadline. */
    public Recovery decide(InterruptedStream stream, long nowNanos) {
        long knownTokens = stream.promptTokens() + stream.deliveredTokens();
        long importTokens = Math.min(stream.exportedKvTokens(), knownTokens - 1);
        long prefillTokens = knownTokens - importTokens;
        long requiredNanos = (long) (margin
                * (speed.prefillNanos(stream.aheadTokens() + prefillTokens)
                        + speed.decodeNanos(stream.outputTokens() - stream.deliveredTokens())));
        long remainingNanos = stream.deadline().atNanos() - nowNanos;
        if (requiredNanos <= remainingNanos) {
            return new Recovery.Continue(importTokens, prefillTokens);
        }
        String detail = "the engine died and continuing needs " + TimeUnit.NANOSECONDS.toMillis(requiredNanos)
                + " ms, with " + stream.deadline().leftMs(nowNanos) + " ms left";
        return new Recovery.Fail(new Problem(ProblemKind.BACKEND_FAILED, detail, RunState.UNKNOWN, RETRY_AFTER_MS));
    }

    /** Random time at which a host resumes sending to a zone that recovered at {@code recoveredNanos}. */
    public static long zoneReturnNanos(long recoveredNanos, RandomGenerator random) {
        return recoveredNanos + random.nextLong(ZONE_RETURN_SPREAD_NANOS);
    }
}
