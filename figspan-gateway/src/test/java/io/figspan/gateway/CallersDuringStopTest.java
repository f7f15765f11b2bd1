package io.figspan.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;

/** Guards against callers whose behavior costs them or others an answer during a planned stop. */
class CallersDuringStopTest extends PlannedStopScenario {
    private static final String STREAM_HEADERS = "content-type: text/event-stream\r\n";
    private static final long STALL_MS = 2_900;

    /** Guards against a connection that is closed with unread bytes of the caller, which resets it. */
    @Test
    void theLastAnswerIsNotResetByTheBytesThatArriveBehindIt() throws Exception {
        Semaphore mayAnswer = new Semaphore(0);
        Semaphore answered = new Semaphore(0);
        addServer("plain-1", (request, connection) -> {
            mayAnswer.acquireUninterruptibly();
            connection.answer(request, 200, "", "ok");
            answered.release();
        });
        open();
        Socket caller = send("GET", "/read/1", "");
        awaitReceived();
        gateway.stop(GRACE_MS, 100);
        gateway.onLateLoop(
                () -> {
                    mayAnswer.release();
                    answered.acquireUninterruptibly();
                    write(caller, "GET", "/read/2", "");
                },
                () -> {});

        assertTrue(readAll(caller).startsWith("HTTP/1.1 200"));
    }

    /** Guards against a caller that doesn't read and makes all streams of its service look slow. */
    @Test
    void aCallerThatDoesNotReadDoesNotMakeThisHostRefuseTheStreamsOfOthers() throws Exception {
        String data = "\ndata: " + "a".repeat(LARGE_EVENT_BYTES) + "\n\n";
        addServer("engine-1", (request, connection) -> {
            if (!request.target().contains("slow")) {
                connection.answer(request, 200, STREAM_HEADERS, EVENT + "id: 2\ndata: b\n\n");
                return;
            }
            connection.begin(request, 200, STREAM_HEADERS);
            for (int number = 1; number <= LARGE_EVENTS; number++) {
                connection.write("id: " + number + data);
            }
            connection.awaitClose();
        });
        open();
        for (int number = 0; number < RECENT_REQUESTS; number++) {
            gateway.call("POST", "/stream/" + number, "prompt-tokens: 50\r\n", "");
        }
        Socket kept = connectKept();
        send("POST", "/stream/slow", "prompt-tokens: 50\r\n");
        gateway.awaitUnsentBytes();
        gateway.pauseShutdownTimer();
        gateway.stop(GRACE_MS, 4_100);
        gateway.onLoop(() -> gateway.tickShutdown(STALL_MS));
        write(kept, "POST", "/stream/late", "prompt-tokens: 50\r\n");

        String response = readAll(kept);
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }
}
