package io.figspan.gateway.forward;

import io.figspan.cluster.quarantine.CrashQuarantine.Refusal;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.PromptPartId;
import io.figspan.gateway.protocol.CallerRequest;
import java.util.List;
import java.util.Optional;

/** Observes for one request whether its prompt crashes engines, and whether it must be refused for that. */
final class CrashObserver {
    /** Events after which an answer counts as begun. */
    private static final long EVENTS_OF_A_BEGUN_ANSWER = 2;

    private final RequestCrashes crashes;
    private final List<PromptPartId> parts;
    private boolean hasBegun;

    CrashObserver(RequestCrashes crashes, CallerRequest request) {
        this.crashes = crashes;
        this.parts = request.sharedParts();
        this.hasBegun = request.lastEventId().isPresent();
    }

    boolean hasPart(PromptPartId part) {
        return parts.contains(part);
    }

    /** Why the request must be refused now. */
    Optional<Problem> refusal(long nowNanos) {
        return crashes.refusal(parts, nowNanos).map(CrashObserver::problemOf);
    }

    /** Why the request must be refused instead of being sent now. */
    Optional<Problem> refusalOfSend(long nowNanos) {
        return crashes.refusalOfSend(parts, nowNanos).map(CrashObserver::problemOf);
    }

    private static Problem problemOf(Refusal refusal) {
        return Problem.notRun(ProblemKind.PROMPT_QUARANTINED, detail(refusal.part()))
                .withRetryAfterMs(refusal.retryAfterMs());
    }

    static String detail(PromptPartId part) {
        return "prompts with the part " + part + " have crashed several engines";
    }

    /** An event has arrived from an engine. */
    void eventArrived(Attempt attempt, long eventCount, long nowNanos) {
        crashes.serverResponded(attempt.incarnation(), attempt.sentNanos(), nowNanos);
        if (eventCount >= EVENTS_OF_A_BEGUN_ANSWER) {
            answerBegan(nowNanos);
        }
    }

    /** A complete response has arrived from an engine. */
    void responseCompleted(Attempt attempt, long nowNanos) {
        crashes.serverResponded(attempt.incarnation(), attempt.sentNanos(), nowNanos);
        answerBegan(nowNanos);
    }

    private void answerBegan(long nowNanos) {
        if (!hasBegun) {
            hasBegun = true;
            crashes.answerBegan(parts, nowNanos);
        }
    }

    void attemptFailed(Attempt attempt, long nowNanos) {
        if (!hasBegun && attempt.hasLostConnection()) {
            crashes.serverCrashed(attempt.incarnation(), parts, nowNanos);
        }
    }
}
