package io.figspan.policy.admission;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.policy.placement.EngineSpeed;
import java.util.concurrent.TimeUnit;

/**
 * Admission by predicted time. A prompt is admitted only if its predicted finish, with a margin for errors of the
 * prediction, is before its deadline. Otherwise it is refused at once with a time to come back.
 *
 * @param speed speed of the engines
 * @param margin factor on the predicted duration, at least 1
 */
public record AdmissionPolicy(EngineSpeed speed, double margin) {
    /**
     * Long prompts are overtaken by later short ones. With 1.2, 1.2 percent of the admitted long prompts missed their
     * deadline at 85 percent of capacity; with 1.5, 0.8 percent did.
     */
    public static final double DEFAULT_MARGIN = 1.5;

    /** Shortest time to come back, so that refused callers do not return before the load can have changed. */
    static final long MIN_RETRY_AFTER_MS = 500;

    public AdmissionDecision decide(AdmissionRequest request, long nowNanos) {
        long firstTokenNanos = speed.prefillNanos(request.aheadTokens() + request.prefillTokens());
        long durationNanos = firstTokenNanos + speed.decodeNanos(request.outputTokens());
        long neededNanos = (long) (durationNanos * margin);
        long leftNanos = request.deadline().atNanos() - nowNanos;
        if (neededNanos <= leftNanos) {
            return new AdmissionDecision.Admitted(nowNanos + firstTokenNanos, nowNanos + durationNanos);
        }
        return new AdmissionDecision.Refused(refusal(request, neededNanos, Math.max(0, leftNanos)));
    }

    private Problem refusal(AdmissionRequest request, long neededNanos, long leftNanos) {
        long neededMs = TimeUnit.NANOSECONDS.toMillis(neededNanos);
        long leftMs = TimeUnit.NANOSECONDS.toMillis(leftNanos);
        long idleNanos = (long)
                ((speed.prefillNanos(request.prefillTokens()) + speed.decodeNanos(request.outputTokens())) * margin);
        if (idleNanos > leftNanos) {
            return Problem.notRun(
                    ProblemKind.DEADLINE_UNREACHABLE,
                    "the prompt needs " + TimeUnit.NANOSECONDS.toMillis(idleNanos) + " ms on an idle engine and "
                            + leftMs + " ms are left");
        }
        return Problem.notRun(
                        ProblemKind.OVERLOADED, "the prompt needs " + neededMs + " ms and " + leftMs + " ms are left")
                .withRetryAfterMs(Math.max(MIN_RETRY_AFTER_MS, neededMs - leftMs));
    }
}
