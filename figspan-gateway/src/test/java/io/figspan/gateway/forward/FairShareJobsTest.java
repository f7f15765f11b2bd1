package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.PromptPartId;
import io.figspan.core.id.ServiceId;
import io.figspan.gateway.log.DecisionLog;
import io.figspan.gateway.metrics.GatewayMetrics;
import io.figspan.gateway.protocol.CallerRequest;
import io.figspan.gateway.protocol.HeaderBlock;
import io.figspan.policy.affinity.PromptPart;
import io.figspan.policy.affinity.PromptPrefix;
import io.figspan.policy.placing.Job;
import io.figspan.policy.placing.ShareChange;
import io.figspan.settings.gateway.OrganisationKeys;
import io.figspan.settings.gateway.RequestKind;
import io.figspan.settings.gateway.Route;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against requests that count for no organisation, and against limits that the metrics do not show. */
class FairShareJobsTest {
    private static final OrganisationId ORGANISATION = OrganisationId.of("organisation");

    private static final PromptPrefix PREFIX =
            PromptPrefix.of(List.of(new PromptPart(PromptPartId.of("part"), 20_000)));

    private static Job job(Optional<OrganisationKeys> organisation) {
        return job(organisation, true);
    }

    private static Job job(Optional<OrganisationKeys> organisation, boolean isFair) {
        Route route = new Route(
                "route", "host", "/", RequestKind.IDEMPOTENT, 1_000, 300, 1, List.of(), 2, true, true, false, 0);
        CallerRequest request = new CallerRequest(
                HttpMethod.POST,
                "/",
                "host",
                HeaderBlock.of(EmptyHttpHeaders.INSTANCE),
                "attempt",
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                PREFIX,
                OptionalLong.empty());
        return JobFactory.create(request, route, organisation, isFair, 0);
    }

    @Test
    void aJobCarriesTheOrganisationOfItsKeyWhosePriorityPrecedesThatOfTheRoute() {
        Job withPriority = job(Optional.of(new OrganisationKeys(ORGANISATION, List.of("key"), OptionalInt.of(2))));
        Job without = job(Optional.of(new OrganisationKeys(ORGANISATION, List.of("key"), OptionalInt.empty())));
        assertEquals(Optional.of(ORGANISATION), withPriority.organisation());
        assertEquals(2, withPriority.rank());
        assertEquals(1, without.rank());
    }

    /** Guards against fair shares where the settings don't ask for them. */
    @Test
    void aJobCarriesNoOrganisationUnlessOrganisationsShareFairly() {
        Job job = job(Optional.of(new OrganisationKeys(ORGANISATION, List.of("key"), OptionalInt.of(2))), false);
        assertEquals(Optional.empty(), job.organisation());
        assertEquals(2, job.rank());
    }

    /** Guards against prefixes that are decoded and never reach placement. */
    @Test
    void aJobCarriesThePrefixOfItsRequest() {
        assertEquals(PREFIX, job(Optional.empty()).prefix());
    }

    @Test
    void aJobWithoutAKeyHasNoOrganisation() {
        assertEquals(Optional.empty(), job(Optional.empty()).organisation());
    }

    @Test
    void theMetricsShowHowManyOrganisationsAreLimitedAndWhatItCostThem() {
        GatewayMetrics metrics = new GatewayMetrics();
        ShareLog log = new ShareLog(new DecisionLog(), metrics);
        ServiceId service = ServiceId.of("service");
        log.changed(service, new ShareChange(ORGANISATION, true, 0, 0));
        assertTrue(metrics.text().contains("figspan_organisations_limited 1"), metrics.text());
        log.changed(service, new ShareChange(ORGANISATION, false, 7, 3));
        assertTrue(metrics.text().contains("figspan_organisations_limited 0"), metrics.text());
        assertTrue(metrics.text().contains("figspan_shares_heldBack_total 7"), metrics.text());
        assertTrue(metrics.text().contains("figspan_shares_refused_total 3"), metrics.text());
    }
}
