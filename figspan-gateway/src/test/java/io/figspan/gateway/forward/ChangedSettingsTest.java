package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.OrganisationId;
import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer.Connection;
import io.figspan.gateway.ScriptedServer.Received;
import io.figspan.gateway.TestRoutes;
import io.figspan.settings.gateway.CallerAccess;
import io.figspan.settings.gateway.CallerLimits;
import io.figspan.settings.gateway.GatewaySettings;
import io.figspan.settings.gateway.OrganisationKeys;
import io.figspan.settings.gateway.Route;
import io.figspan.settings.gateway.WeightedService;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against requests that get neither an answer nor a refusal when the settings change under them. */
class ChangedSettingsTest {
    private static final long GRACE_MS = 60_000;
    private static final long TIMEOUT_MS = 5_000;
    private static final int LIMIT_S = 20;
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String ENGINE_HEAD = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";

    /** A change of the settings, applied to those in force. */
    private enum Change {
        ROUTE_ADDED(settings -> withRoutes(settings, routes -> {
            List<Route> more = new ArrayList<>(routes);
            more.add(copy(routes.get(0), "/more/", routes.get(0).services(), TIMEOUT_MS));
            return more;
        })),
        ROUTES_REMOVED(settings -> withRoutes(settings, routes -> List.of())),
        ROUTES_MOVED(settings -> withServices(settings, new WeightedService(GatewayHarness.SPARE, 1))),
        ROUTES_WITHOUT_WEIGHT(settings -> withServices(settings, new WeightedService(GatewayHarness.PLAIN, 0))),
        ROUTES_SPLIT(settings -> withServices(
                settings, new WeightedService(GatewayHarness.SPARE, 1), new WeightedService(GatewayHarness.PLAIN, 1))),
        TIMEOUT_SHORTER(settings -> withRoutes(settings, routes -> routes.stream()
                .map(route -> copy(route, route.pathPrefix(), route.services(), 1))
                .toList())),
        LIMITS_LOWER(settings -> withLimits(settings, new CallerLimits(16_384, 1, 1, 1))),
        LIMITS_HIGHER(settings -> withLimits(settings, new CallerLimits(32_768, 8_000_000, 60_000, 60_000))),
        KEYS_REMOVED(settings -> withKeys(settings, "k-2")),
        SERVICES_REMOVED(settings -> new GatewaySettings(
                settings.version(), settings.routes(), Map.of(), settings.callerLimits(), settings.access()));

        @SuppressWarnings("ImmutableEnumChecker") // The functions have no state.
        private final UnaryOperator<GatewaySettings> change;

        Change(UnaryOperator<GatewaySettings> change) {
            this.change = change;
        }
    }

    /** How the changed settings arrive. */
    private enum Arrival {
        ONCE,
        TWICE,
        REVERTED,
        OLDER_AFTERWARDS,
        WHILE_STOPPING
    }

    /** What has happened to a request when the settings change. */
    private enum State {
        HEAD_ARRIVING(false),
        BODY_ARRIVING(false),
        QUEUED(false),
        RESERVING_MEMORY(false),
        SENT(true),
        IN_THE_ANSWER(true),
        IN_A_STREAM(true),
        IN_A_RESUMED_STREAM(true),
        PIPELINED(true);

        private final boolean isSent;

        State(boolean isSent) {
            this.isSent = isSent;
        }
    }

    private final Semaphore received = new Semaphore(0);
    private final Semaphore reserving = new Semaphore(0);
    private final CountDownLatch released = new CountDownLatch(1);
    private final List<Socket> others = new ArrayList<>();
    private GatewayHarness gateway;
    private Socket caller;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
        caller = gateway.connect();
    }

    @AfterEach
    void stop() throws IOException {
        released.countDown();
        for (Socket other : others) {
            other.close();
        }
        caller.close();
        gateway.close();
    }

    // Settings

    private static Route copy(Route route, String prefix, List<WeightedService> services, long timeoutMs) {
        return TestRoutes.copy(route, route.name() + prefix, prefix, services, timeoutMs);
    }

    private static GatewaySettings withRoutes(GatewaySettings settings, UnaryOperator<List<Route>> change) {
        return new GatewaySettings(
                settings.version(),
                change.apply(settings.routes()),
                settings.services(),
                settings.callerLimits(),
                settings.access());
    }

    private static GatewaySettings withServices(GatewaySettings settings, WeightedService... services) {
        return withRoutes(settings, routes -> routes.stream()
                .map(route -> copy(route, route.pathPrefix(), List.of(services), route.timeoutMs()))
                .toList());
    }

    private static GatewaySettings withLimits(GatewaySettings settings, CallerLimits limits) {
        return new GatewaySettings(
                settings.version(), settings.routes(), settings.services(), limits, settings.access());
    }

    private static GatewaySettings withKeys(GatewaySettings settings, String key) {
        List<OrganisationKeys> organisations =
                List.of(new OrganisationKeys(OrganisationId.of("house-2"), List.of(key), OptionalInt.empty()));
        return new GatewaySettings(
                settings.version(),
                settings.routes(),
                settings.services(),
                settings.callerLimits(),
                CallerAccess.keyed(organisations));
    }

    private void change(Change change, Arrival arrival) {
        GatewaySettings older = gateway.settings(TIMEOUT_MS);
        if (arrival == Arrival.WHILE_STOPPING) {
            gateway.stop(GRACE_MS, 0);
        }
        gateway.apply(change.change.apply(gateway.settings(TIMEOUT_MS)));
        if (arrival == Arrival.TWICE) {
            gateway.apply(change.change.apply(gateway.settings(TIMEOUT_MS)));
        } else if (arrival == Arrival.REVERTED) {
            gateway.apply(gateway.settings(TIMEOUT_MS));
        } else if (arrival == Arrival.OLDER_AFTERWARDS) {
            gateway.apply(older);
        } else if (arrival == Arrival.WHILE_STOPPING) {
            gateway.onLoop(() -> gateway.callers().stopAccepting());
        }
    }

    // Servers

    private void answer(Received request, Connection connection) throws IOException {
        if (request.target().startsWith("/release")) {
            connection.write("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n");
        } else if (request.target().startsWith("/reserve")) {
            reserving.release();
            awaitRelease();
            connection.write("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n");
        } else if (request.target().startsWith("/stream/")) {
            answerStream(request, connection);
        } else {
            answerPlain(request, connection);
        }
    }

    private void answerPlain(Received request, Connection connection) throws IOException {
        String answer = Connection.response(request, 200, "", "whole answer");
        int sentFirst = request.target().endsWith("/halved") ? answer.length() - 6 : 0;
        connection.write(answer.substring(0, sentFirst));
        received.release();
        awaitRelease();
        connection.write(answer.substring(sentFirst));
    }

    private void answerStream(Received request, Connection connection) throws IOException {
        boolean isResumed = !request.header("last-event-id").isEmpty();
        connection.begin(request, 200, ENGINE_HEAD);
        writeEvent(connection, isResumed ? 2 : 1);
        if (request.target().endsWith("/broken") && !isResumed) {
            connection.reset();
            return;
        }
        received.release();
        awaitRelease();
        writeEvent(connection, isResumed ? 3 : 2);
        connection.write(LAST_CHUNK);
    }

    private static void writeEvent(Connection connection, int id) throws IOException {
        String event = "id: " + id + "\ndata: piece\n\n";
        connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    private void awaitRelease() throws IOException {
        try {
            assertTrue(released.await(LIMIT_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted");
        }
    }

    // Callers

    private static byte[] lastRequest(String target, String moreHeaders, String body) {
        return GatewayHarness.request("POST", target, "connection: close\r\n" + moreHeaders, body);
    }

    private void send(byte[] bytes) throws IOException {
        caller.getOutputStream().write(bytes);
    }

    /** Brings a request into the state; returns the bytes of it that are still to be sent. */
    private byte[] bringInto(State state, String path) throws Exception {
        byte[] request = lastRequest(path + "1", "", "body");
        switch (state) {
            case HEAD_ARRIVING -> {
                return sendPart(request, 60);
            }
            case BODY_ARRIVING -> {
                return sendPart(request, request.length - 2);
            }
            case QUEUED -> {
                fillServer(path);
                send(request);
                gateway.awaitWaiting(1);
            }
            case RESERVING_MEMORY -> {
                send(lastRequest("/stream/1", "prompt-tokens: 150000\r\n", "prompt"));
                assertTrue(reserving.tryAcquire(LIMIT_S, TimeUnit.SECONDS));
            }
            case IN_THE_ANSWER -> sendAndAwait(lastRequest(path + "halved", "", "body"));
            case IN_A_STREAM -> sendAndAwait(lastRequest("/stream/1", "prompt-tokens: 5000\r\n", "prompt"));
            case IN_A_RESUMED_STREAM ->
                sendAndAwait(lastRequest("/stream/broken", "prompt-tokens: 5000\r\n", "prompt"));
            case PIPELINED -> {
                send(GatewayHarness.request("POST", path + "0", "", "body"));
                sendAndAwait(request);
            }
            default -> sendAndAwait(request);
        }
        gateway.awaitRead();
        return new byte[0];
    }

    private void sendAndAwait(byte[] request) throws Exception {
        send(request);
        awaitReceived();
    }

    private byte[] sendPart(byte[] request, int length) throws IOException {
        send(Arrays.copyOf(request, length));
        gateway.awaitRead();
        return Arrays.copyOfRange(request, length, request.length);
    }

    private void awaitReceived() throws InterruptedException {
        assertTrue(received.tryAcquire(LIMIT_S, TimeUnit.SECONDS));
    }

    private void fillServer(String path) throws Exception {
        for (int number = 0; number < GatewayHarness.SLOTS; number++) {
            Socket other = gateway.connect();
            others.add(other);
            other.getOutputStream().write(lastRequest(path + "other", "", ""));
            awaitReceived();
        }
    }

    private static Stream<Arguments> cases() {
        return Arrays.stream(State.values())
                .flatMap(state -> Arrays.stream(Change.values()).flatMap(change -> Arrays.stream(Arrival.values())
                        .map(arrival -> Arguments.of(state, change, arrival))));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void eachRequestGetsItsAnswerOrARefusal(State state, Change change, Arrival arrival) throws Exception {
        gateway.add("plain-1", this::answer);
        gateway.add("spare-1", this::answer);
        for (int number = 0; number < 4; number++) {
            gateway.add("engine-" + number, this::answer);
        }
        gateway.open();
        gateway.apply(gateway.settings(TIMEOUT_MS));
        byte[] rest = bringInto(state, "/order/");

        change(change, arrival);
        send(rest);
        released.countDown();

        String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        int expected = state == State.PIPELINED ? 2 : 1;
        assertEquals(expected, statuses(response).size(), response);
        assertTrue(statuses(response).stream().allMatch(ChangedSettingsTest::isExpected), response);
        assertTrue(isComplete(response), response);
        assertTrue(!state.isSent || statuses(response).get(0) == 200, response);
    }

    private static List<Integer> statuses(String response) {
        return response.lines()
                .filter(line -> line.contains("HTTP/1.1 "))
                .map(line -> line.substring(line.indexOf("HTTP/1.1 ") + "HTTP/1.1 ".length()))
                .map(line -> Integer.parseInt(line.substring(0, 3)))
                .toList();
    }

    /** An answer, or a refusal that says that the request has not run. */
    private static boolean isExpected(int status) {
        return List.of(200, 401, 404, 413, 503, 504).contains(status);
    }

    private static boolean isComplete(String response) {
        boolean isStream = response.contains("text/event-stream");
        if (isStream) {
            return response.endsWith(LAST_CHUNK);
        }
        return response.endsWith("whole answer") || response.endsWith("}");
    }
}
