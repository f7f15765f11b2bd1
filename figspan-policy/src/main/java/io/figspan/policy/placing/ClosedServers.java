package io.figspan.policy.placing;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.core.id.BackendServerId;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Rejects jobs at once that no server accepts before their deadline, as far as the servers have said. */
final class ClosedServers {
    private static final String REASON = "no backend server accepts requests before the deadline";

    private ClosedServers() {}

    /** Returns the refusal of a job for which all these servers are closed until after its deadline. */
    static Optional<Placement> refusal(Job job, Collection<BackendServerId> servers, RequestGate gate, long nowNanos) {
        long waitNanos = Long.MAX_VALUE;
        for (BackendServerId server : servers) {
            waitNanos = Math.min(waitNanos, gate.reopensNanos(server, nowNanos) - nowNanos);
        }
        boolean isHopeless = !servers.isEmpty() && waitNanos > job.deadline().atNanos() - nowNanos;
        if (waitNanos <= 0 || !isHopeless) {
            return Optional.empty();
        }
        Problem problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, REASON)
                .withRetryAfterMs(TimeUnit.NANOSECONDS.toMillis(waitNanos));
        return Optional.of(new Placement.Refuse(job, problem, REASON));
    }
}
