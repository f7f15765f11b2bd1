package io.figspan.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.gateway.GatewayHarness;
import io.figspan.gateway.ScriptedServer;
import io.figspan.gateway.ScriptedServer.Received;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests to a backend server that has said in a response that it drains. */
class LeavingServerTest {
    /** Enough that a server that is still used gets one of them for certain. */
    private static final int REQUESTS = 40;

    private static final long LIMIT_S = 20;
    private static final String LEAVING = "leaving: 1\r\n";
    private static final String EVENTS = "id: 1\ndata: a\n\n";

    private GatewayHarness gateway;

    @BeforeEach
    void start() throws IOException {
        gateway = new GatewayHarness();
    }

    @AfterEach
    void stop() throws IOException {
        gateway.close();
    }

    private ScriptedServer addServing(String name, String moreHeaders) throws IOException {
        return gateway.add(name, (request, connection) -> connection.answer(request, 200, moreHeaders, EVENTS));
    }

    private static List<Received> workOf(ScriptedServer server) {
        return server.received().stream()
                .filter(request -> !request.target().startsWith("/release"))
                .toList();
    }

    private void sendReads() throws IOException {
        for (int number = 0; number < REQUESTS; number++) {
            String response = gateway.call("GET", "/read/" + number, "", "");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
        }
    }

    private void sendPrompts(int tokens) throws IOException {
        for (int number = 0; number < REQUESTS; number++) {
            gateway.call("POST", "/stream/" + number, "prompt-tokens: " + tokens + "\r\n", "prompt");
        }
    }

    @Test
    void noRequestReachesAPlainServerThatHasSaidThatItLeaves() throws IOException {
        ScriptedServer leaving = addServing("plain-1", LEAVING);
        addServing("plain-2", "");
        gateway.open();

        sendReads();

        assertEquals(1, leaving.received().size());
    }

    @Test
    void noPromptReachesAnEngineThatHasSaidThatItLeaves() throws IOException {
        ScriptedServer leaving = addServing("engine-1", LEAVING);
        addServing("engine-2", "");
        gateway.open();

        sendPrompts(5_000);

        assertEquals(1, leaving.received().size());
    }

    @Test
    void aNoticeInAFailureHoldsToo() throws IOException {
        ScriptedServer leaving =
                gateway.add("plain-1", (request, connection) -> connection.answer(request, 500, LEAVING, ""));
        addServing("plain-2", "");
        gateway.open();

        sendReads();

        assertEquals(1, leaving.received().size());
    }

    @Test
    void noMemoryIsReservedAtAnEngineThatHasSaidThatItLeaves() throws IOException {
        AtomicReference<String> leaving = new AtomicReference<>();
        Map<String, ScriptedServer> engines = new HashMap<>();
        for (int number = 1; number < 6; number++) {
            String name = "engine-" + number;
            ScriptedServer.Script script = (request, connection) -> {
                if (request.target().startsWith("/stream")) {
                    connection.answer(request, 200, "", EVENTS);
                    return;
                }
                leaving.compareAndSet(null, name);
                String notice = name.equals(leaving.get()) ? LEAVING : "";
                connection.write("HTTP/1.1 200 x\r\n" + notice + "content-length: 0\r\n\r\n");
            };
            engines.put(name, gateway.add(name, script));
        }
        gateway.open();

        sendPrompts(150_000);

        List<Received> work = workOf(engines.get(leaving.get()));
        assertEquals(1, work.stream().filter(LeavingServerTest::isReservation).count());
        assertTrue(isReservation(work.get(work.size() - 1)), work.toString());
    }

    private static boolean isReservation(Received request) {
        return request.target().startsWith("/reserve");
    }

    @Test
    void anEntryOfTheSameProcessWithoutTheNoticeDoesNotTakeItBack() throws IOException {
        ScriptedServer leaving = addServing("plain-1", LEAVING);
        addServing("plain-2", "");
        gateway.open();
        sendReads();

        gateway.registerAgain("plain-1", leaving);
        sendReads();

        assertEquals(1, leaving.received().size());
    }

    @Test
    void noRequestReachesAServerOfWhichAnotherHostSaysThatItLeaves() throws IOException {
        ScriptedServer leaving = addServing("plain-1", "");
        addServing("plain-2", "");
        gateway.open();
        gateway.leavesByGossip("plain-1");

        sendReads();

        assertEquals(0, leaving.received().size());
    }

    @Test
    void aWaitingRequestIsNotSentToAServerThatBeganToLeaveMeanwhile() throws Exception {
        CountDownLatch noticeHasArrived = new CountDownLatch(1);
        CountDownLatch allSlotsAreBusy = new CountDownLatch(GatewayHarness.SLOTS);
        ScriptedServer leaving = gateway.add("plain-1", (request, connection) -> {
            allSlotsAreBusy.countDown();
            awaitLatch(noticeHasArrived);
            connection.answer(request, 200, "", "");
        });
        gateway.open();
        List<Future<String>> calls = new ArrayList<>();
        ExecutorService callers = Executors.newCachedThreadPool();
        for (int number = 0; number <= GatewayHarness.SLOTS; number++) {
            String target = "/read/" + number;
            calls.add(callers.submit(() -> gateway.call("GET", target, "", "")));
        }
        awaitLatch(allSlotsAreBusy);
        gateway.awaitWaiting(1);

        gateway.leavesByGossip("plain-1");
        noticeHasArrived.countDown();

        for (Future<String> call : calls) {
            call.get(LIMIT_S, TimeUnit.SECONDS);
        }
        callers.shutdown();
        assertEquals(GatewayHarness.SLOTS, leaving.received().size());
    }

    private static void awaitLatch(CountDownLatch latch) throws IOException {
        try {
            latch.await(LIMIT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Test
    void aNewProcessOfTheServerGetsRequestsAgain() throws IOException {
        ScriptedServer restarted = addServing("plain-1", LEAVING);
        gateway.open();
        gateway.call("GET", "/read/1", "", "");
        assertTrue(gateway.call("GET", "/read/2", "", "").startsWith("HTTP/1.1 503"));

        gateway.restart("plain-1", restarted);

        assertTrue(gateway.call("GET", "/read/3", "", "").startsWith("HTTP/1.1 200"));
    }

    @Test
    void aNoticeOfAnotherServerAtTheAddressSaysNothingOfTheExpectedOne() throws IOException {
        ScriptedServer server = gateway.add("plain-1", (request, connection) -> {
            boolean isFirst = request.target().equals("/read/1");
            connection.answer(request, isFirst ? 421 : 200, isFirst ? LEAVING : "", "");
        });
        gateway.open();
        gateway.call("GET", "/read/1", "", "");
        String response;
        do {
            response = gateway.call("GET", "/read/2", "", "");
        } while (!response.startsWith("HTTP/1.1 200"));
        assertEquals(2, server.received().size());
    }
}
