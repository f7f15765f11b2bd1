package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.core.id.BackendServerId;
import io.figspan.core.work.PlacedRequest;
import io.figspan.core.work.PrefillReader;
import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that reach a server of an evacuated zone, from whatever state they were in. */
class EvacuatedZoneTest {
    /** Enough that a server that is still used gets one of them for certain. */
    private static final int REQUESTS = 40;

    private static final long LIMIT_S = 20;
    private static final String EVENTS = "id: 1\ndata: a\n\n";
    private static final Pattern CONTENT_LENGTH = Pattern.compile("content-length: (\\d+)");
    private static final String SERVED = "HTTP/1.1 200";
    private static final String REFUSED = "HTTP/1.1 503";

    private final ExecutorService callers = Executors.newCachedThreadPool();
    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() {
        gateway.close();
        callers.shutdownNow();
    }

    private ScriptedServer addServing(String name) throws IOException {
        return gateway.add(name, (request, connection) -> connection.answer(request, 200, "", EVENTS));
    }

    private ScriptedServer addBlocked(String name, CountDownLatch busy, CountDownLatch end) throws IOException {
        return gateway.add(name, (request, connection) -> {
            busy.countDown();
            await(end);
            connection.answer(request, 200, "", EVENTS);
        });
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            assertTrue(latch.await(LIMIT_S, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private String read() throws IOException {
        return gateway.call("GET", "/read/1", "", "");
    }

    private List<Future<String>> beginReads(int count) {
        return Stream.generate(() -> callers.submit(this::read)).limit(count).toList();
    }

    private static List<String> responses(List<Future<String>> calls) throws Exception {
        List<String> responses = new ArrayList<>();
        for (Future<String> call : calls) {
            responses.add(call.get(LIMIT_S, TimeUnit.SECONDS));
        }
        return responses;
    }

    private void sendReads() throws IOException {
        for (int number = 0; number < REQUESTS; number++) {
            assertTrue(read().startsWith(SERVED));
        }
    }

    private static void assertRefusedWithRetryTime(String response) {
        assertTrue(response.startsWith(REFUSED) && response.contains("retry-after: "), response);
    }

    private long placedAgain() {
        String name = "figspan_requests_placed_again_total ";
        return gateway.metrics()
                .text()
                .lines()
                .filter(line -> line.startsWith(name))
                .mapToLong(line -> Long.parseLong(line.substring(name.length()).strip()))
                .sum();
    }

    @Test
    void noRequestReachesAnEvacuatedZoneUntilItIsRestored() throws IOException {
        ScriptedServer evacuated = addServing("plain-1/a");
        addServing("plain-2/b");
        gateway.open();
        gateway.evacuate("a");
        sendReads();
        assertEquals(0, evacuated.received().size());

        gateway.evacuate();
        sendReads();
        assertFalse(evacuated.received().isEmpty());
    }

    @Test
    void noPromptReachesAnEvacuatedZoneAndNoMemoryIsReservedThere() throws IOException {
        List<ScriptedServer> evacuated = List.of(addEngine("engine-1/a"), addEngine("engine-2/a"));
        for (int number = 3; number < 7; number++) {
            addEngine("engine-" + number + "/b");
        }
        gateway.open();
        gateway.evacuate("a");

        for (int number = 0; number < REQUESTS; number++) {
            int tokens = number % 2 == 0 ? 5_000 : 150_000;
            gateway.call("POST", "/stream/" + number, "prompt-tokens: " + tokens + "\r\n", "prompt");
        }

        for (ScriptedServer engine : evacuated) {
            assertEquals(List.of(), engine.received());
        }
    }

    private ScriptedServer addEngine(String name) throws IOException {
        return gateway.add(name, (request, connection) -> {
            if (request.target().startsWith("/stream")) {
                connection.answer(request, 200, "", EVENTS);
            } else {
                connection.write("HTTP/1.1 200 x\r\ncontent-length: 0\r\n\r\n");
            }
        });
    }

    @Test
    void aServerThatRegistersInAnEvacuatedZoneGetsNothing() throws IOException {
        addServing("plain-1/b");
        gateway.open();
        gateway.evacuate("a");
        ScriptedServer late = addServing("plain-2/a");
        gateway.restart("plain-2/a", late);

        sendReads();

        assertEquals(0, late.received().size());
    }

    @Test
    void twoEvacuationsHoldTogetherAndTheOtherZonesServeAlsoWhenOneOfThemIsLost() throws IOException {
        List<ScriptedServer> evacuated = List.of(addServing("plain-1/a"), addServing("plain-2/b"));
        ScriptedServer lost = addServing("plain-3/c");
        addServing("plain-4/d");
        gateway.open();
        gateway.evacuate("a", "b");
        lost.close();

        sendReads();

        for (ScriptedServer server : evacuated) {
            assertEquals(0, server.received().size());
        }
    }

    @Test
    void anUnknownZoneChangesNothing() throws Exception {
        CountDownLatch busy = new CountDownLatch(GatewayHarness.SLOTS);
        CountDownLatch end = new CountDownLatch(1);
        addBlocked("plain-1/a", busy, end);
        gateway.open();
        List<Future<String>> calls = beginReads(GatewayHarness.SLOTS + 1);
        await(busy);
        gateway.awaitWaiting(1);

        gateway.evacuate("nowhere");
        end.countDown();

        assertTrue(responses(calls).stream().allMatch(response -> response.startsWith(SERVED)));
        assertEquals(0, placedAgain());
    }

    // All zones

    @Test
    void whenAllZonesAreEvacuatedEachRequestIsRefusedAtOnceWithRetryTimesThatDiffer() throws IOException {
        ScriptedServer server = addServing("plain-1/a");
        addServing("engine-1/b");
        gateway.open();
        gateway.evacuate("a", "b");

        Set<String> retryTimes = ConcurrentHashMap.newKeySet();
        for (int number = 0; number < REQUESTS; number++) {
            String response = read();
            assertRefusedWithRetryTime(response);
            response.lines().filter(line -> line.startsWith("retry-after")).forEach(retryTimes::add);
        }
        assertRefusedWithRetryTime(gateway.call("POST", "/stream/1", "prompt-tokens: 5000\r\n", "prompt"));

        assertTrue(retryTimes.size() > REQUESTS / 2, retryTimes.toString());
        assertEquals(0, server.received().size());
        gateway.evacuate("b");
        assertTrue(read().startsWith(SERVED));
    }

    /** Guards against callers that wait for servers which may take nothing, and against work that is broken off. */
    @Test
    void queuedRequestsAreRefusedAtOnceAndRequestsInProgressAreAnswered() throws Exception {
        CountDownLatch busy = new CountDownLatch(GatewayHarness.SLOTS);
        CountDownLatch end = new CountDownLatch(1);
        ScriptedServer server = addBlocked("plain-1/a", busy, end);
        gateway.open();
        List<Future<String>> running = beginReads(GatewayHarness.SLOTS);
        await(busy);
        List<Future<String>> queued = beginReads(2);
        gateway.awaitWaiting(2);

        gateway.evacuate("a");
        responses(queued).forEach(EvacuatedZoneTest::assertRefusedWithRetryTime);
        assertRefusedWithRetryTime(read());
        end.countDown();

        assertTrue(responses(running).stream().allMatch(response -> response.startsWith(SERVED)));
        assertEquals(GatewayHarness.SLOTS, server.received().size());
    }

    /** Guards against a prompt that waits for engines that are busy and evacuated until its caller gives up. */
    @Test
    void queuedPromptsAreRefusedAtOnce() throws Exception {
        CountDownLatch busy = new CountDownLatch(GatewayHarness.SLOTS);
        CountDownLatch end = new CountDownLatch(1);
        addBlocked("engine-1/a", busy, end);
        gateway.open();
        List<Future<String>> running = new ArrayList<>();
        for (int number = 0; number < GatewayHarness.SLOTS; number++) {
            running.add(callers.submit(() -> gateway.call("POST", "/ask/1", "prompt-tokens: 1000\r\n", "prompt")));
        }
        await(busy);
        Future<String> queued =
                callers.submit(() -> gateway.call("POST", "/ask/1", "prompt-tokens: 1000\r\n", "prompt"));
        gateway.awaitWaiting(1);

        gateway.evacuate("a");

        assertRefusedWithRetryTime(queued.get(LIMIT_S, TimeUnit.SECONDS));
        end.countDown();
        assertTrue(responses(running).stream().allMatch(response -> response.startsWith(SERVED)));
    }

    // Requests on their way

    @Test
    void aQueuedRequestWaitsForAnotherZoneWhenAServerOfTheEvacuatedOneBecomesFree() throws Exception {
        CountDownLatch busy = new CountDownLatch(2 * GatewayHarness.SLOTS);
        CountDownLatch endA = new CountDownLatch(1);
        CountDownLatch endB = new CountDownLatch(1);
        ScriptedServer evacuated = addBlocked("plain-1/a", busy, endA);
        ScriptedServer other = addBlocked("plain-2/b", busy, endB);
        gateway.open();
        List<Future<String>> running = beginReads(2 * GatewayHarness.SLOTS);
        await(busy);
        Future<String> queued = callers.submit(this::read);
        gateway.awaitWaiting(1);

        gateway.evacuate("a");
        endA.countDown();
        while (gateway.unfinishedCallers() > GatewayHarness.SLOTS + 1) {
            Thread.onSpinWait();
        }
        assertFalse(queued.isDone());
        endB.countDown();

        assertTrue(queued.get(LIMIT_S, TimeUnit.SECONDS).startsWith(SERVED));
        responses(running);
        assertEquals(GatewayHarness.SLOTS, evacuated.received().size());
        assertEquals(GatewayHarness.SLOTS + 1, other.received().size());
        assertEquals(1, placedAgain());
    }

    @Test
    void aRequestWhoseConnectionIsNotEstablishedYetIsWithdrawn() throws Exception {
        ScriptedServer server = addServing("plain-1/a");
        gateway.open();
        try (Socket caller = connectKept()) {
            gateway.onLateLoop(
                    () -> caller.getOutputStream().write(GatewayHarness.request("GET", "/read/1", "", "")),
                    () -> gateway.afterNextRead(() -> gateway.evacuateNow("a")));
            assertRefusedWithRetryTime(readResponse(caller));
        }
        gateway.awaitAttemptsEnded("withdrawn", 1);
        assertEquals(0, server.received().size());
        assertEquals(1, placedAgain());
    }

    /** Opens a connection that the host has accepted, so that it reads the next request in one step. */
    private Socket connectKept() throws IOException {
        Socket caller = gateway.connect();
        caller.getOutputStream().write(GatewayHarness.request("GET", "/nowhere", "", ""));
        assertTrue(readResponse(caller).startsWith("HTTP/1.1 404"));
        return caller;
    }

    private static String readResponse(Socket caller) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) caller.getInputStream().read());
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        assertTrue(length.find(), head.toString());
        caller.getInputStream().readNBytes(Integer.parseInt(length.group(1)));
        return head.toString();
    }

    @Test
    void aRequestWhoseBodyIsStillArrivingIsRefused() throws Exception {
        ScriptedServer server = addServing("plain-1/a");
        gateway.open();
        byte[] request = GatewayHarness.request("POST", "/order/1", "", "body");
        try (Socket caller = connectKept()) {
            caller.getOutputStream().write(request, 0, request.length - 1);
            gateway.awaitRead();
            gateway.evacuate("a");
            caller.getOutputStream().write(request, request.length - 1, 1);
            assertRefusedWithRetryTime(readResponse(caller));
        }
        assertEquals(0, server.received().size());
    }

    @Test
    void aRetryAvoidsTheZoneThatWasEvacuatedMeanwhile() throws IOException {
        Map<String, String> other = Map.of("a", "b", "b", "a");
        List<ScriptedServer> servers = new ArrayList<>();
        for (String zone : other.keySet()) {
            servers.add(gateway.add("plain-1/" + zone, (request, connection) -> {
                gateway.evacuate(other.get(zone));
                connection.answer(request, 503, "not-run: 1\r\n", "");
            }));
        }
        gateway.open();

        read();

        assertEquals(
                1, servers.stream().mapToInt(server -> server.received().size()).sum());
    }

    @Test
    void aBrokenStreamIsResumedOutsideTheEvacuatedZone() throws IOException {
        List<String> zones = List.of("a", "b", "c");
        AtomicReference<String> evacuated = new AtomicReference<>();
        Map<String, ScriptedServer> engines = new HashMap<>();
        for (String zone : zones) {
            engines.put(zone, gateway.add("engine-1/" + zone, (request, connection) -> {
                if (request.header("last-event-id").isEmpty()) {
                    evacuated.set(zones.get((zones.indexOf(zone) + 1) % zones.size()));
                    connection.begin(request, 200, "transfer-encoding: chunked\r\n");
                    connection.write("f\r\n" + EVENTS + "\r\n");
                    gateway.evacuate(evacuated.get());
                    connection.reset();
                } else {
                    connection.answer(request, 200, "", "id: 2\ndata: b\n\n");
                }
            }));
        }
        gateway.open();

        String response = gateway.call("POST", "/stream/1", "prompt-tokens: 5000\r\n", "prompt");

        assertTrue(response.contains("id: 2"), response);
        assertEquals(0, engines.get(evacuated.get()).received().size());
    }

    // Prompts that several engines read

    private static Set<String> enginesOf(List<PlacedRequest> work) {
        return work.stream()
                .flatMap(request -> Stream.concat(
                        Stream.of(request.server()), request.readers().stream().map(PrefillReader::server)))
                .map(BackendServerId::value)
                .collect(Collectors.toSet());
    }

    /** The zone of one of the engines that read for another one. */
    private static String zoneOfReader(List<PlacedRequest> work) {
        String reader = work.get(0).readers().get(0).server().value();
        return reader.substring(reader.indexOf('/') + 1);
    }

    private ControlledEngines openEngines() throws IOException {
        ControlledEngines engines = new ControlledEngines();
        for (int number = 1; number < 7; number++) {
            engines.addTo(gateway, "engine-" + number + "/zone-" + number);
        }
        gateway.open();
        return engines;
    }

    private void beginPrompt(int tokens) {
        var unused =
                callers.submit(() -> gateway.call("POST", "/stream/1", "prompt-tokens: " + tokens + "\r\n", "prompt"));
    }

    /** Guards against a prompt that is read by an engine whose zone was evacuated while its memory was reserved. */
    @Test
    void aPromptThatWaitsForMemoryIsPlacedAgainWithoutTheEvacuatedZone() throws Exception {
        ControlledEngines engines = openEngines();
        CountDownLatch answered = engines.delayReservations();
        beginPrompt(150_000);
        engines.awaitDelayedReservation();
        String zone = zoneOfReader(gateway.ownWork());

        gateway.evacuate(zone);
        answered.countDown();
        engines.nextPrompt();

        Set<String> used = enginesOf(gateway.ownWork());
        assertTrue(used.size() > 1 && used.stream().noneMatch(engine -> engine.endsWith(zone)), used + " " + zone);
    }

    /** Guards against a prompt that is written although a helper's zone was evacuated during the connection set-up. */
    @Test
    void aPromptWhoseConnectionIsNotEstablishedYetIsWithdrawnWhenTheZoneOfAHelperIsEvacuated() throws Exception {
        ControlledEngines engines = openEngines();
        AtomicReference<String> zone = new AtomicReference<>();
        try (Socket caller = connectKept()) {
            byte[] request = GatewayHarness.request("POST", "/stream/1", "prompt-tokens: 60000\r\n", "prompt");
            gateway.onLateLoop(
                    () -> caller.getOutputStream().write(request),
                    () -> gateway.afterNextRead(() -> {
                        zone.set(zoneOfReader(gateway.ownWorkNow()));
                        gateway.evacuateNow(zone.get());
                    }));
            gateway.awaitAttemptsEnded("withdrawn", 1);
            engines.nextPrompt();
            Set<String> used = enginesOf(gateway.ownWork());
            assertTrue(used.stream().noneMatch(engine -> engine.endsWith(zone.get())), used + " " + zone.get());
        }
    }
}
