package io.figspan.gateway.forward;

import io.figspan.cluster.message.SuspectId;
import io.figspan.cluster.quarantine.CrashQuarantine.Refusal;
import io.figspan.cluster.quarantine.RequestIdentity;
import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.RequestFingerprint;
import io.figspan.gateway.backend.BackendPools;
import io.figspan.gateway.protocol.CallerRequest;
import io.netty.buffer.ByteBuf;
import java.util.Optional;

/** Observes for one request whether it crashes backend servers, and whether it must be refused for that. */
final class CrashObserver {
    /** Events after which an answer counts as begun, so that no part of its prompt crashes servers. */
    private static final long EVENTS_OF_A_BEGUN_ANSWER = 2;

    /** Status codes from here on say that the server failed, perhaps right before it ended. */
    private static final int HTTP_INTERNAL_SERVER_ERROR = 500;

    private final RequestCrashes crashes;
    private final BackendPools pools;
    private final RequestIdentity request;
    private final WritingTime writingTime = new WritingTime();
    private boolean hasBegun;
    private boolean isProvenSound;

    CrashObserver(
            RequestCrashes crashes,
            BackendPools pools,
            ReceivedRequest received,
            Optional<OrganisationId> organisation) {
        this.crashes = crashes;
        this.pools = pools;
        CallerRequest head = received.head();
        this.request = new RequestIdentity(fingerprintOf(head, received.body(), organisation), head.sharedParts());
        this.hasBegun = head.lastEventId().isPresent();
    }

    private static RequestFingerprint fingerprintOf(
            CallerRequest request, ByteBuf body, Optional<OrganisationId> organisation) {
        return RequestFingerprint.of(organisation, request.method().name(), request.target(), body.nioBuffers());
    }

    RequestFingerprint fingerprint() {
        return request.fingerprint();
    }

    /** Why the request must be refused now. */
    Optional<Problem> refusal(long nowNanos) {
        return crashes.refusal(request, nowNanos).map(CrashObserver::problemOf);
    }

    /** Why the request must be refused instead of being sent now. */
    Optional<Problem> refusalOfSend(long nowNanos) {
        return crashes.refusalOfSend(request, nowNanos).map(CrashObserver::problemOf);
    }

    private static Problem problemOf(Refusal refusal) {
        SuspectId first = refusal.suspects().iterator().next();
        ProblemKind kind =
                switch (first.kind()) {
                    case PROMPT_PART -> ProblemKind.PROMPT_QUARANTINED;
                    case REQUEST -> ProblemKind.REQUEST_QUARANTINED;
                };
        Problem problem = Problem.notRun(kind, detail(first, refusal.suspects().size()));
        return refusal.retryAfterMs().isPresent()
                ? problem.withRetryAfterMs(refusal.retryAfterMs().getAsLong())
                : problem;
    }

    private static String detail(SuspectId first, int suspects) {
        String others = suspects > 1 ? " and " + (suspects - 1) + " others of its parts" : "";
        return switch (first.kind()) {
            case PROMPT_PART -> "prompts with the part " + first + others + " have crashed several engines";
            case REQUEST -> "the request " + first + " has crashed several backend servers";
        };
    }

    /** Events have arrived from an engine, this many of which make progress. */
    void eventsArrived(Attempt attempt, long received, long nowNanos) {
        crashes.serverResponded(attempt.incarnation(), attempt.sentNanos(), nowNanos);
        if (received == 0) {
            return;
        }
        if (attempt.eventCount() >= EVENTS_OF_A_BEGUN_ANSWER) {
            answerBegan(nowNanos);
        }
        if (attempt.eventCount() == received) {
            writingTime.restart(nowNanos);
            isProvenSound = false;
            return;
        }
        writingTime.eventArrived(nowNanos);
        if (!isProvenSound && writingTime.isProvenSound()) {
            isProvenSound = true;
            crashes.requestServed(request, nowNanos);
        }
    }

    /** A response has arrived completely, which only its length or an end marker can show for the request itself. */
    void responseCompleted(Attempt attempt, long nowNanos) {
        crashes.serverResponded(attempt.incarnation(), attempt.sentNanos(), nowNanos);
        answerBegan(nowNanos);
        if (!attempt.isEndedByClose()) {
            crashes.requestServed(request, nowNanos);
        }
    }

    private void answerBegan(long nowNanos) {
        if (!hasBegun) {
            hasBegun = true;
            crashes.answerBegan(request, nowNanos);
        }
    }

    /** An attempt has ended whose caller has left. */
    void discardedEnded(Attempt attempt, long nowNanos) {
        if (attempt.hasLostConnection()) {
            attemptFailed(attempt, AttemptEnd.BROKEN, nowNanos);
        } else if (attempt.isComplete() && attempt.response().isSuccess()) {
            responseCompleted(attempt, nowNanos);
        }
    }

    void attemptFailed(Attempt attempt, AttemptEnd end, long nowNanos) {
        if (end == AttemptEnd.FAILED && attempt.response().status() < HTTP_INTERNAL_SERVER_ERROR) {
            crashes.requestServed(request, nowNanos);
        }
        if (attempt.hasLostConnection() && !isLeaving(attempt)) {
            reportCrash(attempt, nowNanos);
        }
    }

    /** Whether the server drains or has been removed, so that it has ended for that reason. */
    private boolean isLeaving(Attempt attempt) {
        return pools.find(attempt.server())
                .map(server -> server.isLeaving() && server.incarnation().equals(attempt.incarnation()))
                .orElse(true);
    }

    private void reportCrash(Attempt attempt, long nowNanos) {
        boolean wasProvenSound = isProvenSound;
        isProvenSound = false;
        if (!wasProvenSound) {
            crashes.serverCrashed(attempt.incarnation(), request, !hasBegun, nowNanos);
        }
    }
}
