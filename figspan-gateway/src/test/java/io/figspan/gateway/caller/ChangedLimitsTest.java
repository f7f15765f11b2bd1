package io.figspan.gateway.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.settings.gateway.CallerLimits;
import io.figspan.settings.gateway.GatewaySettings;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against limits of older settings on connections that callers keep. */
class ChangedLimitsTest {
    private static final CallerLimits FIRST = new CallerLimits(16_384, 4_096, 3_000, 15_000);

    private GatewayHarness gateway;
    private Socket caller;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        gateway.add("s-1", (request, connection) -> connection.answer(request, 200, "", "done"));
        gateway.open();
        setLimits(FIRST);
        caller = gateway.connect();
        assertEquals("HTTP/1.1 200", status(request("GET", "")));
        gateway.awaitNoBusyCaller();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        gateway.close();
    }

    private void setLimits(CallerLimits limits) {
        gateway.onLoop(() -> gateway.callers().setLimits(limits));
    }

    private static CallerLimits idleTimeout(long ms) {
        return new CallerLimits(FIRST.maxHeaderBytes(), FIRST.maxBodyBytes(), FIRST.headerTimeoutMs(), ms);
    }

    private static CallerLimits maxBody(int bytes) {
        return new CallerLimits(FIRST.maxHeaderBytes(), bytes, FIRST.headerTimeoutMs(), FIRST.idleTimeoutMs());
    }

    private void idleFor(long seconds) {
        long nowNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        gateway.onLoop(() -> gateway.callers().tick(nowNanos));
        gateway.awaitRead();
    }

    /** Sends a request on the kept connection; returns the part of the response before the body of the server. */
    private String request(String method, String body) throws IOException {
        caller.getOutputStream().write(GatewayHarness.request(method, "/read/1", "", body));
        StringBuilder response = new StringBuilder();
        for (int next = caller.getInputStream().read();
                next >= 0;
                next = caller.getInputStream().read()) {
            response.append((char) next);
            if (response.toString().endsWith("done")) {
                break;
            }
        }
        return response.toString();
    }

    private static String status(String response) {
        return response.substring(0, Math.min(response.length(), "HTTP/1.1 200".length()));
    }

    @Test
    void aLongerIdleTimeoutAppliesToConnectionsThatAreOpen() throws IOException {
        setLimits(idleTimeout(60_000));

        idleFor(40);

        assertEquals("HTTP/1.1 200", status(request("GET", "")));
    }

    @Test
    void aShorterIdleTimeoutClosesNoConnectionBeforeItsCallerExpectsThat() throws IOException {
        setLimits(idleTimeout(1_000));

        idleFor(12);

        assertEquals("HTTP/1.1 200", status(request("GET", "")));
    }

    @Test
    void aConnectionIsClosedAfterTheLongestIdleTimeoutSinceItWasAccepted() throws IOException {
        setLimits(idleTimeout(60_000));
        setLimits(idleTimeout(1_000));

        idleFor(70);

        assertEquals(-1, caller.getInputStream().read());
    }

    @Test
    void aRequestWhoseHeadIsArrivingIsNotRefusedByAShorterTimeout() throws IOException {
        caller.getOutputStream().write("GET /read/1 HTTP/1.1\r\n".getBytes(StandardCharsets.ISO_8859_1));
        gateway.awaitRead();
        setLimits(new CallerLimits(FIRST.maxHeaderBytes(), FIRST.maxBodyBytes(), 500, 1_000));

        idleFor(2);
        String rest = "host: a.example\r\nattempt: a-1\r\nkey: " + GatewayHarness.KEY + "\r\n\r\n";
        caller.getOutputStream().write(rest.getBytes(StandardCharsets.ISO_8859_1));

        byte[] response = caller.getInputStream().readNBytes("HTTP/1.1 200".length());
        assertEquals("HTTP/1.1 200", new String(response, StandardCharsets.ISO_8859_1));
    }

    @Test
    void aHigherBodyLimitAppliesToConnectionsThatAreOpen() throws IOException {
        setLimits(maxBody(8_192));

        String response = request("POST", "x".repeat(8_000));

        assertEquals("HTTP/1.1 200", status(response), response);
    }

    @Test
    void aLowerBodyLimitAppliesToConnectionsThatAreOpen() throws IOException {
        setLimits(maxBody(1_024));

        String response = request("POST", "x".repeat(4_000));

        assertEquals("HTTP/1.1 413", status(response), response);
    }

    /** Guards against limits of an older version, for example after the store has returned from an older copy. */
    @Test
    void theLimitsOfSettingsThatAreNotInForceDoNotApply() throws IOException {
        GatewaySettings older = gateway.settings(2_000);
        gateway.apply(withLimits(gateway.settings(2_000), maxBody(8_192)));

        gateway.apply(withLimits(older, maxBody(1_024)));

        assertEquals("HTTP/1.1 200", status(request("POST", "x".repeat(8_000))));
    }

    private static GatewaySettings withLimits(GatewaySettings settings, CallerLimits limits) {
        return new GatewaySettings(
                settings.version(), settings.routes(), settings.services(), limits, settings.access());
    }

    @Test
    void aConnectionIsNotKeptWhoseHeadLimitHasChanged() throws IOException {
        setLimits(new CallerLimits(32_768, FIRST.maxBodyBytes(), FIRST.headerTimeoutMs(), FIRST.idleTimeoutMs()));

        String response = request("GET", "");

        assertEquals("HTTP/1.1 200", status(response));
        assertTrue(response.contains("connection: close"), response);
        assertEquals(-1, caller.getInputStream().read());
    }

    @Test
    void aHeadThatNewerLimitsAllowIsRefusedForAWhileOnly() throws IOException {
        setLimits(new CallerLimits(32_768, FIRST.maxBodyBytes(), FIRST.headerTimeoutMs(), FIRST.idleTimeoutMs()));
        String more = "long: " + "x".repeat(20_000) + "\r\n";

        caller.getOutputStream().write(GatewayHarness.request("GET", "/read/1", more, ""));

        String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertEquals("HTTP/1.1 503", status(response), response);
        assertTrue(response.contains("retry-after"), response);
    }
}
