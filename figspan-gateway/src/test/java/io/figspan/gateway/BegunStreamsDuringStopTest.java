package io.figspan.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against streams that have begun and are given up long before the end of a planned stop. */
class BegunStreamsDuringStopTest extends PlannedStopScenario {
    private static final String STREAM_HEADERS = "content-type: text/event-stream\r\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

    private final Semaphore mayBreakOff = new Semaphore(0);
    private final AtomicInteger attempts = new AtomicInteger();

    /** Guards against an estimate of the whole request for what is left of it. */
    @ParameterizedTest
    @ValueSource(longs = {100, 2_100, 4_100})
    void aStreamWhoseServerBreaksOffIsResumedDuringTheStop(long elapsedMs) throws Exception {
        addBreakingEngine("engine-1");
        addBreakingEngine("engine-2");
        open();
        Socket caller = send("POST", "/stream/1", "prompt-tokens: 50\r\n");
        readFirstEvent(caller);
        gateway.stop(GRACE_MS, elapsedMs);
        mayBreakOff.release();

        String response = readAll(caller);
        assertTrue(response.contains(SECOND_EVENT), response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
    }

    /** Shows that the scenario above resumes without a stop. */
    @Test
    void aStreamWhoseServerBreaksOffIsResumedWithoutAStop() throws Exception {
        addBreakingEngine("engine-1");
        addBreakingEngine("engine-2");
        open();
        Socket caller = send("POST", "/stream/1", "prompt-tokens: 50\r\nconnection: close\r\n");
        readFirstEvent(caller);
        mayBreakOff.release();

        assertTrue(readAll(caller).endsWith("0\r\n\r\n"));
        assertFalse(gateway.isStopped());
    }

    private static void readFirstEvent(Socket caller) throws Exception {
        StringBuilder response = new StringBuilder();
        while (response.indexOf(EVENT) < 0) {
            int next = caller.getInputStream().read();
            assertTrue(next >= 0, response.toString());
            response.append((char) next);
        }
    }

    /** Breaks off the first attempt after an event, when that is allowed; ends the second one. */
    private void addBreakingEngine(String name) throws Exception {
        addServer(name, (request, connection) -> {
            if (attempts.getAndIncrement() == 0) {
                connection.begin(request, 200, STREAM_HEADERS + "content-length: 1000\r\n");
                connection.write(EVENT);
                mayBreakOff.acquireUninterruptibly();
                connection.close();
            } else {
                connection.answer(request, 200, STREAM_HEADERS, SECOND_EVENT);
            }
        });
    }
}
