package io.figspan.gateway.forward;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer.Connection;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** Engines whose responses to prompts are written by the test, step by step. They grant and release memory at once. */
final class ControlledEngines {
    private static final long LIMIT_S = 20;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** A connection carries one prompt, because the engine reads it until the host closes it. */
    private static final String CLOSE = "connection: close\r\n";

    private final BlockingQueue<Prompt> prompts = new LinkedBlockingQueue<>();
    private final Set<String> held = ConcurrentHashMap.newKeySet();
    private final BlockingQueue<String> released = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> delayedReservations = new LinkedBlockingQueue<>();
    private final AtomicReference<String> firstAsked = new AtomicReference<>();
    private volatile boolean isOneSilent;
    private volatile CountDownLatch reservationsAnswered = new CountDownLatch(0);

    /** A prompt that one of the engines has received. */
    static final class Prompt {
        private final Received request;
        private final Connection connection;
        private final CountDownLatch closed = new CountDownLatch(1);

        private Prompt(Received request, Connection connection) {
            this.request = request;
            this.connection = connection;
        }

        String header(String name) {
            return request.header(name);
        }

        void begin() throws IOException {
            connection.begin(request, 200, CLOSE + "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n");
        }

        void write(String text) throws IOException {
            connection.write(text);
        }

        void events(int first, int last) throws IOException {
            for (int id = first; id <= last; id++) {
                chunk(event(id));
            }
        }

        void chunk(String text) throws IOException {
            connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void end() throws IOException {
            connection.write(LAST_CHUNK);
        }

        void answer(int status, String moreHeaders, String body) throws IOException {
            connection.answer(request, status, CLOSE + moreHeaders, body);
        }

        void reset() throws IOException {
            connection.reset();
        }

        /** Whether the host closes the connection. */
        boolean awaitClose() throws InterruptedException {
            return closed.await(LIMIT_S, TimeUnit.SECONDS);
        }

        boolean isClosed() {
            return closed.getCount() == 0;
        }

        private void untilClosed() {
            try {
                connection.awaitClose();
            } catch (IOException e) {
                // The connection was reset, or the engine has ended.
            }
            closed.countDown();
        }
    }

    static String event(int id) {
        return "id: " + id + "\ndata: piece " + id + "\n\n";
    }

    /** Adds an engine that is registered when the gateway is opened. */
    void addTo(GatewayHarness gateway, String name) throws IOException {
        gateway.add(name, (request, connection) -> answer(name, request, connection));
    }

    private void answer(String engine, Received request, Connection connection) throws IOException {
        if (request.target().startsWith("/reserve?")) {
            reserve(engine, request.target());
        } else if (request.target().startsWith("/release?")) {
            released.add(request.target().substring("/release?".length()));
        } else {
            Prompt prompt = new Prompt(request, connection);
            prompts.add(prompt);
            prompt.untilClosed();
            return;
        }
        connection.write("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n");
    }

    private void reserve(String engine, String target) throws IOException {
        String hold = target.substring("/reserve?".length(), target.indexOf('&'));
        if (isOneSilent && isFirstAsked(engine)) {
            delayedReservations.add(hold);
            await(new CountDownLatch(1));
        }
        held.add(hold);
        CountDownLatch answered = reservationsAnswered;
        if (answered.getCount() > 0) {
            delayedReservations.add(hold);
            await(answered);
        }
    }

    private boolean isFirstAsked(String engine) {
        firstAsked.compareAndSet(null, engine);
        return engine.equals(firstAsked.get());
    }

    /** Makes the first engine that is asked for memory answer no reservations at all. */
    void silenceFirstAsked() {
        isOneSilent = true;
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await(LIMIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Makes the engines answer no further reservation of memory until the returned latch is counted down. */
    CountDownLatch delayReservations() {
        reservationsAnswered = new CountDownLatch(1);
        return reservationsAnswered;
    }

    /** Waits for a reservation that is not answered yet. */
    String awaitDelayedReservation() throws InterruptedException {
        return next(delayedReservations);
    }

    /** Waits until an engine receives a prompt. */
    Prompt nextPrompt() throws InterruptedException {
        return next(prompts);
    }

    /** The names of all holds that were reserved. */
    Set<String> held() {
        return Set.copyOf(held);
    }

    /** Whether the hold of one of these names is released, also if that was repeated. */
    boolean isAnyReleased(Set<String> holds) {
        return released.stream().anyMatch(holds::contains);
    }

    void awaitReleased(Set<String> holds) throws InterruptedException {
        Set<String> open = ConcurrentHashMap.newKeySet();
        open.addAll(holds);
        while (!open.isEmpty()) {
            open.remove(next(released));
        }
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(LIMIT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing was received");
        }
        return next;
    }
}
