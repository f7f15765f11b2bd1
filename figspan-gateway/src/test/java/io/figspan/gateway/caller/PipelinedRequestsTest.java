package io.figspan.gateway.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests behind another one that get no answer, or take its answer with them. */
class PipelinedRequestsTest {
    private static final long GRACE_MS = 60_000;
    private static final long LONG_TIMEOUT_MS = 20_000;

    /** Less than the timeout of the route, within which an order of unknown duration may end. */
    private static final long TOO_SHORT_FOR_AN_ORDER_MS = 10_000;

    private static final int TIMEOUT_S = 20;

    /** Enough requests that the gateway stops reading before the last one. */
    private static final int MANY = 150;

    private static final int THOUSANDS = 20_000;

    private static final String LONG_TARGET = "/read/long";

    /** More than the socket buffers hold, so that the caller receives the rest after it was written. */
    private static final int LONG_BODY_BYTES = 3_900_000;

    private static final String LONG_HEADER = "long: " + "x".repeat(2_000) + "\r\n";

    private final CountDownLatch received = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private GatewayHarness gateway;
    private Socket caller;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        gateway.add("s-1", (request, connection) -> {
            received.countDown();
            await(released);
            connection.answer(request, 200, "", bodyOf(request.target()) + "\n");
        });
        gateway.open();
        caller = gateway.connect();
    }

    @AfterEach
    void stop() throws IOException {
        caller.close();
        gateway.close();
    }

    private static String bodyOf(String target) {
        return target.equals(LONG_TARGET) ? "x".repeat(LONG_BODY_BYTES) : target;
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            assertTrue(latch.await(TIMEOUT_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }

    private void send(String target, String moreHeaders) throws IOException {
        caller.getOutputStream().write(GatewayHarness.request("GET", target, moreHeaders, ""));
    }

    private String readAll() throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private static long answers(String response) {
        return response.lines().filter(line -> line.startsWith("HTTP/1.1 200")).count();
    }

    @Test
    void theAnswerBeforeACloseIsNotLostWithUnreadRequests() throws IOException {
        send("/read/1", "connection: close\r\n");
        for (int number = 0; number < MANY; number++) {
            send("/read/2", LONG_HEADER);
        }
        gateway.awaitRead();
        released.countDown();

        String response = readAll();

        assertTrue(response.endsWith("/read/1\n"), response);
    }

    /** Guards against a reset that drops what is written but not received yet (RFC 9112, section 9.6). */
    @Test
    void aLongAnswerBeforeACloseIsNotLostWithUnreadRequests() throws IOException {
        send(LONG_TARGET, "connection: close\r\n");
        for (int number = 0; number < MANY; number++) {
            send("/read/2", LONG_HEADER);
        }
        gateway.awaitRead();
        released.countDown();

        String response = readAll();

        assertTrue(response.length() > LONG_BODY_BYTES, () -> "received " + response.length());
    }

    @Test
    void aConnectionThatEndsWithAnAnswerIsNotBusy() throws IOException {
        send("/read/1", "connection: close\r\n");
        released.countDown();

        readAll();

        gateway.awaitNoBusyCaller();
    }

    /** Guards against one stack frame for each request behind another one that is answered at once. */
    @Test
    void thousandsOfRequestsThatAreRefusedAtOnceAreAllAnswered() throws IOException {
        send("/read/1", "");
        String refused = "GET / HTTP/1.1\r\n\r\n".repeat(THOUSANDS - 1) + "GET / HTTP/1.0\r\n\r\n";
        Thread writer = new Thread(() -> {
            try {
                caller.getOutputStream().write(refused.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        writer.start();
        gateway.awaitRead();
        released.countDown();

        String response = readAll();

        assertEquals(1, answers(response));
        assertEquals(
                THOUSANDS,
                Pattern.compile("HTTP/1.1 404").matcher(response).results().count());
    }

    @Test
    void aHostThatStopsAnswersTheRequestsBehindOneInProgress() throws IOException {
        send("/read/1", "");
        send("/read/2", "");
        send("/read/3", "");
        gateway.awaitRead();
        gateway.onLoop(() -> gateway.callers().disableKeepAlive());
        released.countDown();

        String response = readAll();

        assertEquals(3, answers(response), response);
        assertTrue(response.endsWith("/read/3\n"), response);
    }

    @Test
    void aHostThatStopsRefusesTheRequestsBehindOneInProgress() throws IOException {
        gateway.apply(gateway.settings(LONG_TIMEOUT_MS));
        send("/read/1", "");
        send("/order/2", "");
        await(received);
        gateway.awaitRead();
        gateway.stop(GRACE_MS, GRACE_MS - TOO_SHORT_FOR_AN_ORDER_MS);
        released.countDown();

        String response = readAll();

        assertEquals(1, answers(response), response);
        assertTrue(response.contains("HTTP/1.1 503"), response);
    }
}
