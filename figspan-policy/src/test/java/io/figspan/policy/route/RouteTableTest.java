package io.figspan.policy.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.error.FigspanException;
import io.figspan.core.id.ServiceId;
import io.figspan.settings.gateway.RequestKind;
import io.figspan.settings.gateway.Route;
import io.figspan.settings.gateway.WeightedService;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against requests that are routed to the service of another route. */
class RouteTableTest {
    private static final ServiceId OLD = ServiceId.of("old");
    private static final ServiceId NEW = ServiceId.of("new");

    private static Route route(String name, String hostName, String prefix, WeightedService... services) {
        return new Route(
                name,
                hostName,
                prefix,
                RequestKind.IDEMPOTENT,
                1_000,
                300,
                1,
                List.of(services),
                2,
                false,
                false,
                false,
                0);
    }

    private final RouteTable table = new RouteTable(List.of(
            route("root", "a.example", "/"),
            route("orders", "a.example", "/orders/"),
            route("urgent", "a.example", "/orders/urgent/"),
            route("other", "b.example", "/orders/")));

    private String find(String hostName, String path) {
        return table.find(hostName, path).map(Route::name).orElse("none");
    }

    @Test
    void theLongestPrefixOfTheHostWins() {
        assertEquals("urgent", find("a.example", "/orders/urgent/7"));
        assertEquals("orders", find("a.example", "/orders/urgent"));
        assertEquals("orders", find("a.example", "/orders/7/"));
        assertEquals("root", find("a.example", "/orders"));
        assertEquals("other", find("b.example", "/orders/urgent/7"));
    }

    @Test
    void anUnknownHostOrPathMatchesNoRoute() {
        assertEquals("none", find("b.example", "/"));
        assertEquals("none", find("c.example", "/orders/7"));
        assertEquals("none", find("", "/orders/7"));
    }

    @Test
    void thePortAndTheCaseOfTheHostNameDoNotMatter() {
        assertEquals("orders", find("A.Example:8080", "/orders/7"));
    }

    @Test
    void aPrefixThatDoesNotEndWithASlashIsRefused() {
        assertThrows(FigspanException.class, () -> route("bad", "a.example", "/orders"));
    }

    @Test
    void servicesAreChosenByWeight() {
        Route split = route("split", "a.example", "/", new WeightedService(OLD, 90), new WeightedService(NEW, 10));
        SplittableRandom random = new SplittableRandom(5);
        int newCount = 0;
        for (int i = 0; i < 10_000; i++) {
            newCount += ServiceSelector.choose(split, random).orElseThrow().equals(NEW) ? 1 : 0;
        }
        assertTrue(newCount > 800 && newCount < 1_200, "expected about 1,000 of 10,000 but got " + newCount);
    }

    @Test
    void aRouteWhoseWeightsAreAllZeroSelectsNoService() {
        Route weightless = route("nowhere", "a.example", "/", new WeightedService(OLD, 0));
        assertTrue(ServiceSelector.choose(weightless, new SplittableRandom(1)).isEmpty());
    }
}
