package io.figspan.gateway.forward;

import io.figspan.core.time.Deadline;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.policy.placing.Job;
import io.figspan.settings.gateway.OrganisationKeys;
import io.figspan.settings.gateway.Route;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/** Creates the jobs of requests for the placers. */
final class JobFactory {
    private JobFactory() {}

    /**
     * Returns the job of a request; the priority of the organisation takes precedence over that of the route.
     *
     * @param isFairBetweenOrganisations whether the placers take the organisation into account
     */
    static Job create(
            CallerRequest request,
            Route route,
            Optional<OrganisationKeys> organisation,
            boolean isFairBetweenOrganisations,
            long arrivedNanos) {
        int rank = organisation
                .map(OrganisationKeys::rank)
                .filter(OptionalInt::isPresent)
                .map(OptionalInt::getAsInt)
                .orElse(route.rank());
        return new Job(
                request.attemptId(),
                arrivedNanos,
                Deadline.after(arrivedNanos, RequestProfiles.timeoutMs(route, request)),
                TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMs()),
                TimeUnit.MILLISECONDS.toNanos(route.maxGapMs()),
                rank,
                request.prompt(),
                organisation.filter(known -> isFairBetweenOrganisations).map(OrganisationKeys::id),
                request.prefix());
    }
}
