package io.figspan.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that arrive during a planned stop, are accepted, and end without an answer. */
class ArrivalsDuringStopTest extends PlannedStopScenario {
    @ParameterizedTest
    @ValueSource(longs = {0, 2_100, 4_100, 6_100})
    void aShortRequestOnAKeptConnectionIsServedInEachQuarter(long elapsedMs) throws Exception {
        addServer("plain-1", (request, connection) -> connection.answer(request, 200, "", "ok"));
        addEndless("engine-1");
        open();
        keepBusy();
        Socket caller = connect();
        for (int number = 0; number < RECENT_REQUESTS; number++) {
            write(caller, "POST", "/order/" + number, "");
            assertTrue(readResponse(caller).startsWith("HTTP/1.1 200"));
        }
        gateway.stop(GRACE_MS, elapsedMs);
        write(caller, "POST", "/order/late", "");

        String response = readAll(caller);
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.contains("connection: close"), response);
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /read/, 4100",
        "GET, /read/, 6100",
        "POST, /order/, 100",
        "POST, /order/, 2100",
        "POST, /order/, 4100",
        "POST, /order/, 6100",
        "POST, /once/, 4100"
    })
    void aRequestThatMayLastLongerThanWhatIsLeftIsRefusedAtOnce(String method, String path, long elapsedMs)
            throws Exception {
        ScriptedServer plain = addEndless("plain-1");
        ScriptedServer engine = addEndless("engine-1");
        open();
        keepBusy();
        Socket caller = connectKept();
        gateway.stop(GRACE_MS, elapsedMs);
        write(caller, method, path + "late", "");

        assertNotRun(readAll(caller));
        assertFalse(gateway.isStopped());
        assertEquals(List.of(), plain.received());
        assertEquals(1, engine.received().size());
    }

    /** Guards against the guess of a duration for a route that was renamed, added or not used yet. */
    @ParameterizedTest
    @ValueSource(longs = {100, 2_100, 3_050})
    void aStreamOfWhichNoDurationIsKnownIsRefusedWhenItsTimeoutIsLongerThanWhatIsLeft(long elapsedMs) throws Exception {
        ScriptedServer engine = addEndless("engine-1");
        open();
        Socket caller = connectKept();
        gateway.stop(GRACE_MS, elapsedMs);
        write(caller, "POST", "/stream/late", "prompt-tokens: 50\r\n");

        assertNotRun(readAll(caller));
        assertEquals(List.of(), engine.received());
    }

    /** Guards against refusals for the sake of a service that the route does not choose. */
    @Test
    void anUploadIsServedAlthoughItsRouteNamesAServiceWithoutWeight() throws Exception {
        addServer("plain-1", (request, connection) -> connection.answer(request, 200, "", "ok"));
        open();
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settingsWithUnusedService(TIMEOUT_MS)));
        for (int number = 0; number < RECENT_REQUESTS; number++) {
            assertTrue(gateway.call("POST", "/order/" + number, "", "").startsWith("HTTP/1.1 200"));
        }
        Socket caller = connect();
        write(caller, "POST", "/order/first", "");
        assertTrue(readResponse(caller).startsWith("HTTP/1.1 200"));
        byte[] upload = GatewayHarness.request("POST", "/order/late", "", "body");
        caller.getOutputStream().write(upload, 0, upload.length - 1);
        gateway.pauseShutdownTimer();
        gateway.stop(GRACE_MS, THIRD_QUARTER_MS);
        gateway.awaitRead();
        gateway.onLoop(() -> gateway.tickShutdown(0));
        caller.getOutputStream().write(upload, upload.length - 1, 1);

        String response = readResponse(caller);
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }

    /** Guards against a request that is sent to a server while the process ends. */
    @Test
    void aRequestThatArrivesWhenTheProcessEndsIsAnsweredBeforeItsEnd() throws Exception {
        ScriptedServer server = addEndless("plain-1");
        open();
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(500)));
        Socket caller = connectKept();
        gateway.onLateLoop(
                () -> write(caller, "GET", "/read/late", ""),
                () -> gateway.beginStop(GRACE_MS, AFTER_LAST_ARRIVALS_MS));
        gateway.awaitStopped();
        int sentBeforeEnd = server.received().size();
        gateway.awaitRead();

        assertEquals(0, gateway.unfinishedCallers());
        assertEquals(sentBeforeEnd, server.received().size());
        assertTrue(readAll(caller).startsWith("HTTP/1.1 50"));
    }

    @Test
    void aRequestThatArrivesWhileTheIdleConnectionsAreClosedIsRefused() throws Exception {
        ScriptedServer server = addEndless("plain-1");
        open();
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(500)));
        Socket caller = connectKept();
        gateway.pauseShutdownTimer();
        gateway.stop(GRACE_MS, AFTER_LAST_ARRIVALS_MS);
        gateway.onLoop(() -> gateway.tickShutdown(0));
        gateway.onLateLoop(() -> write(caller, "GET", "/read/late", ""), () -> gateway.tickShutdown(1_000));

        assertNotRun(readAll(caller));
        gateway.resumeShutdownTimer();
        gateway.awaitStopped();
        assertEquals(List.of(), server.received());
    }

    /** Guards against connections that are reset because they were not accepted before the port was closed. */
    @Test
    void theRequestsOnConnectionsThatWaitToBeAcceptedAreAnswered() throws Exception {
        addServer("plain-1", (request, connection) -> connection.answer(request, 200, "", "ok"));
        open();
        gateway.onLateLoop(
                () -> {
                    for (int number = 0; number < WAITING_CONNECTIONS; number++) {
                        send("GET", "/read/" + number, "");
                    }
                },
                () -> gateway.beginStop(GRACE_MS, AFTER_LAST_ARRIVALS_MS));

        for (Socket caller : sockets) {
            assertNotRun(readAll(caller));
        }
        gateway.awaitStopped();
    }

    /** Keeps a request in progress, since an idle process ends before the later quarters. */
    private void keepBusy() throws Exception {
        send("POST", "/stream/1", "prompt-tokens: 50\r\n");
        awaitReceived();
    }

    @Test
    void aRequestOnANewConnectionIsServedAfterTheSignal() throws Exception {
        addServer("plain-1", (request, connection) -> connection.answer(request, 200, "", "ok"));
        open();
        for (int number = 0; number < RECENT_REQUESTS; number++) {
            assertTrue(gateway.call("GET", "/read/" + number, "", "").startsWith("HTTP/1.1 200"));
        }
        gateway.stop(GRACE_MS, 0);

        String response = gateway.call("GET", "/read/late", "", "");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }

    @Test
    void aRequestOfWhichNoDurationIsKnownIsServedWhenItsTimeoutEndsInTime() throws Exception {
        addServer("plain-1", (request, connection) -> connection.answer(request, 200, "", "ok"));
        open();
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.settings(GRACE_MS / 2)));
        gateway.stop(GRACE_MS, 0);

        String response = gateway.call("GET", "/read/1", "", "");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }

    /** Guards against estimates that are lost with the name or the path of a route. */
    @Test
    void aStreamIsServedDuringTheStopAfterItsRouteWasRenamed() throws Exception {
        addServer(
                "engine-1",
                (request, connection) ->
                        connection.answer(request, 200, "content-type: text/event-stream\r\n", EVENT + EVENT));
        open();
        for (int number = 0; number < RECENT_REQUESTS; number++) {
            gateway.call("POST", "/stream/" + number, "prompt-tokens: 50\r\n", "");
        }
        gateway.onLoop(() -> gateway.forwarder().apply(gateway.renamedSettings(TIMEOUT_MS)));
        gateway.stop(GRACE_MS, 2_100);

        String response = gateway.call("POST", "/stream/late", "prompt-tokens: 50\r\n", "");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
    }

    @Test
    void aRequestThatFailsIsNotSentAgainWhenNoTimeIsLeftForIt() throws Exception {
        Semaphore mayFail = new Semaphore(0);
        ScriptedServer one = addServer("plain-1", (request, connection) -> {
            mayFail.acquireUninterruptibly();
            connection.close();
        });
        open();
        Socket caller = send("GET", "/read/1", "");
        awaitReceived();
        gateway.stop(GRACE_MS, THIRD_QUARTER_MS);
        mayFail.release();

        assertMayHaveRun(readAll(caller));
        assertFalse(gateway.isStopped());
        assertEquals(1, one.received().size());
    }
}
