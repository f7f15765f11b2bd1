package io.figspan.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.figspan.control.token.TokenKeys;
import io.figspan.core.id.HostId;
import io.figspan.core.id.HostIncarnation;
import io.figspan.core.id.OrganisationId;
import io.figspan.core.id.ServiceId;
import io.figspan.core.id.TicketId;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OrdersTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SERVICE = "orders-1";

    private LoopbackFleet fleet;

    @BeforeAll
    void start(@TempDir Path directory) throws Exception {
        fleet = new LoopbackFleet(directory, 2, 1, LoopbackFleet.limits(50_000, 2_000));
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
    }

    /** Guards against a second run when a caller sends its order again, to the owner or to another host. */
    @Test
    void anOrderRunsOnceHoweverOftenAndWhereverItsTicketIsSent() throws Exception {
        String ticket = ticket(0);
        for (int host : new int[] {0, 1, 0, 1}) {
            HttpResponse<String> answer = order(host, ticket, "same-everywhere");
            assertEquals(200, answer.statusCode(), answer.body());
            assertEquals("ran", answer.headers().firstValue("Figspan-Run").orElse(""));
        }
        assertEquals(200, get(1, "/v1/orders/" + ticket).statusCode());
        assertEquals(1, runs("same-everywhere"));
    }

    /** Guards against a repeated write and against notRun after the service has run an order. */
    @Test
    void aWriteThatBreaksAfterTheRunIsUnknownEverywhereAndNotRepeated() throws Exception {
        String ticket = ticket(0);
        fleet.post(fleet.servicePort(), "/control/mode?fail=BREAK_AFTER&count=1");
        for (int host : new int[] {0, 1, 0}) {
            assertEquals("unknown", run(order(host, ticket, "broken-after")));
        }
        assertEquals(1, runs("broken-after"));
    }

    @Test
    void aWriteThatBreaksBeforeTheRunIsUnknownAndNotRepeated() throws Exception {
        String ticket = ticket(1);
        fleet.post(fleet.servicePort(), "/control/mode?fail=BREAK_BEFORE&count=1");
        assertEquals("unknown", run(order(0, ticket, "broken-before")));
        assertEquals("unknown", run(order(1, ticket, "broken-before")));
        assertEquals(0, runs("broken-before"));
    }

    @Test
    void anotherBodyOnAUsedTicketIsRefused() throws Exception {
        String ticket = ticket(0);
        order(0, ticket, "first-body");
        HttpResponse<String> answer = order(1, ticket, "second-body");
        assertEquals(409, answer.statusCode());
        assertEquals(0, runs("second-body"));
    }

    /** Guards against an order without a ticket of this fleet, and against notRun for a ticket that cannot be read. */
    @Test
    void aForgedOrAlteredTicketRunsNothing() throws Exception {
        io.figspan.control.ticket.Ticket made = new io.figspan.control.ticket.Ticket(
                OrganisationId.of(LoopbackFleet.ORGANISATION),
                ServiceId.of(SERVICE),
                TicketId.of("forged"),
                new HostIncarnation(HostId.of("host-1"), 1));
        String forged = new io.figspan.control.ticket.TicketCodec(TokenKeys.ofText("a key that the forger made up"))
                .encode(made);
        for (String ticket : new String[] {forged, ticket(0) + "A", "x"}) {
            HttpResponse<String> answer = order(0, ticket, "forged");
            assertEquals(403, answer.statusCode());
            assertEquals("unknown", run(answer));
        }
        assertEquals(0, runs("forged"));
    }

    /** Guards against a notRun answer that a later call of the same ticket proves wrong. */
    @Test
    void withoutAServerTheTicketIsVoidForGood() throws Exception {
        String ticket = ticket(0, "no-such-service");
        assertEquals("notRun", run(order(0, ticket, "no-server")));
        assertEquals("notRun", run(order(1, ticket, "no-server")));
    }

    private String ticket(int host) throws Exception {
        return ticket(host, SERVICE);
    }

    private String ticket(int host, String service) throws Exception {
        HttpRequest request = fleet.request(host, "/v1/tickets", "ticket")
                .POST(HttpRequest.BodyPublishers.ofString("{\"service\":\"" + service + "\"}"))
                .build();
        String body =
                fleet.http.send(request, HttpResponse.BodyHandlers.ofString()).body();
        return MAPPER.readTree(body).path("ticket").asText();
    }

    private HttpResponse<String> order(int host, String ticket, String order) throws Exception {
        HttpRequest request = fleet.request(host, "/v1/orders", order)
                .header("Figspan-Ticket", ticket)
                .POST(HttpRequest.BodyPublishers.ofString("{\"order\":\"" + order + "\"}"))
                .build();
        return fleet.http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> get(int host, String path) throws Exception {
        return fleet.http.send(fleet.request(host, path, "query").build(), HttpResponse.BodyHandlers.ofString());
    }

    private static String run(HttpResponse<String> answer) throws Exception {
        String run = answer.headers().firstValue("Figspan-Run").orElse("");
        assertTrue(answer.body().contains("\"run\":\"" + run + "\""), answer.body());
        return run;
    }

    private int runs(String order) throws Exception {
        URI uri = LoopbackFleet.uri(fleet.servicePort(), "/control/runs");
        String body = fleet.http
                .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .body();
        JsonNode runs = MAPPER.readTree(body).path("runs");
        return runs.path(order).asInt(0);
    }
}
