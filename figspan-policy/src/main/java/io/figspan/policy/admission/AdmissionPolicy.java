package io.figspan.policy.admission;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.policy.placement.EngineSpeed;
import java.util.concurrent.TimeUnit;

/**
 * Admission control by predicted latency. A prompt is admitted only if its predicted duration, multiplied by a safety
 * margin for prediction errors, ends by its deadline. Otherwise it is refused immediately, with a retry-after time
 * unless even an idle engine could not finish it in time.
 *
 * @param speed throughput of the engines
 * @param margin factor by which the predicted duration is multiplied, at least 1
 */
public record AdmissionPolicy(EngineSpeed speed, double margin) {
    /**
     * Covers the delay of long prompts behind later short ones, which engines run first. At 85 percent of capacity, 1.2
     * percent of the admitted long prompts missed their deadline with a margin of 1.2, and 0.8 percent with 1.5.
     */
    public static final double DEFAULT_MARGIN = 1.5;

    /** Minimum retry-after time, so that refused callers do not retry before the load can have changed. */
    static final long MIN_RETRY_AFTER_MS = 500;

    /** Decides on a prompt; {@code nowNanos} is on the host's monotonic clock. */
    public AdmissionDecision decide(AdmissionRequest request, long nowNanos) {
        long firstTokenNanos = speed.prefillNanos(request.aheadTokens() + request.prefillTokens());
        long durationNanos = firstTokenNanos + speed.decodeNanos(request.outputTokens());
        long requiredNanos = (long) (durationNanos * margin);
        long remainingNanos = request.deadline().atNanos() - nowNanos;
        if (requiredNanos <= remainingNanos) {
            return new AdmissionDecision.Admitted(nowNanos + firstTokenNanos, nowNanos + durationNanos);
        }
        return new AdmissionDecision.Refused(refusal(request, requiredNanos, Math.max(0, remainingNanos)));
    }

    private Problem refusal(AdmissionRequest request, long requiredNanos, long remainingNanos) {
        long requiredMs = TimeUnit.NANOSECONDS.toMillis(requiredNanos);
        long remainingMs = TimeUnit.NANOSECONDS.toMillis(remainingNanos);
        long idleEngineNanos = (long)
                ((speed.prefillNanos(request.prefillTokens()) + speed.decodeNanos(request.outputTokens())) * margin);
        if (idleEngineNanos > remainingNanos) {
            return Problem.notRun(
                    ProblemKind.DEADLINE_UNREACHABLE,
                    "the prompt needs " + TimeUnit.NANOSECONDS.toMillis(idleEngineNanos) + " ms on an idle engine and "
                            + remainingMs + " ms are left");
        }
        return Problem.notRun(
                        ProblemKind.OVERLOADED,
                        "the prompt needs " + requiredMs + " ms and " + remainingMs + " ms are left")
                .withRetryAfterMs(Math.max(MIN_RETRY_AFTER_MS, requiredMs - remainingMs));
    }
}
