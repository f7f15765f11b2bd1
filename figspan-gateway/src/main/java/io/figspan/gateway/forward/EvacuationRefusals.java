package io.figspan.gateway.forward;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.Placement;
import java.util.random.RandomGenerator;

/** Refuses the requests of a service while all its servers are in evacuated zones. */
final class EvacuationRefusals {
    /** The operator ends an evacuation, or servers register in another zone, within seconds at the earliest. */
    private static final long MIN_RETRY_AFTER_MS = 500;

    /** Spreads the callers, so that they don't return together. */
    private static final long RETRY_AFTER_SPREAD_MS = 1_000;

    private static final String REASON = "all servers of the service are in evacuated zones";

    private final RandomGenerator random;

    EvacuationRefusals(RandomGenerator random) {
        this.random = random;
    }

    Placement refuse(Job job) {
        long retryAfterMs = MIN_RETRY_AFTER_MS + random.nextLong(RETRY_AFTER_SPREAD_MS);
        Problem problem = Problem.notRun(ProblemKind.NO_BACKEND_SERVER, REASON).withRetryAfterMs(retryAfterMs);
        return new Placement.Refuse(job, problem, REASON);
    }
}
