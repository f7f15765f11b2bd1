package io.figspan.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.standin.StandinFleet;
import io.figspan.standin.engine.Answers;
import io.vertx.core.Future;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FailuresTest {
    private static final int TOKENS = 40;
    private static final int GATE = 7;
    private static final int LONG_PROMPT_CHARS = 1_000_000 * Answers.CHARS_PER_TOKEN;

    private LoopbackFleet fleet;

    @BeforeEach
    void start(@TempDir Path directory) throws Exception {
        fleet = new LoopbackFleet(directory, 1, 3, LoopbackFleet.limits(8 << 20, 60_000));
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    /** Guards against a long prompt that is lost, or whose answer has a gap, when one engine of its group dies. */
    @Test
    void aLongPromptGoesOnElsewhereWhenAnEngineOfItsGroupDies() throws Exception {
        String prompt = "0123456789abcdef".repeat(LONG_PROMPT_CHARS / 16);
        fleet.controlEngines("/control/gate?tokens=" + GATE);
        try (SseAnswer answer = fleet.prompt(0, "long", prompt, TOKENS)) {
            answer.readTokens(GATE);
            assertEquals(3, fleet.enginesWithHolds().size());
            int last = fleet.enginesWithHolds().get(2);
            fleet.post(last, "/control/crash");
            for (int port : fleet.enginePorts()) {
                if (port != last) {
                    fleet.post(port, "/control/gate");
                }
            }
            answer.readToEnd();
            assertTrue(answer.complete, () -> "problem " + answer.problem);
            assertEquals(Answers.answer(prompt, TOKENS), answer.text.toString());
        }
    }

    /** Guards against an answer that is cut off by a shutdown, and against new work during it. */
    @Test
    void aGracefulShutdownFinishesTheStreamInFlight() throws Exception {
        fleet.controlEngines("/control/gate?tokens=" + GATE);
        try (SseAnswer answer = fleet.prompt(0, "in-flight", "a prompt before the shutdown", TOKENS)) {
            answer.readTokens(GATE);
            Future<Void> stopped = fleet.hosts.get(0).shutDown();
            fleet.awaitCondition(waiting -> refusesNewWork());
            assertFalse(stopped.isComplete());
            fleet.controlEngines("/control/gate");
            answer.readToEnd();
            assertTrue(answer.complete, () -> "problem " + answer.problem);
            assertEquals(Answers.answer("a prompt before the shutdown", TOKENS), answer.text.toString());
            LoopbackFleet.await(stopped);
        }
    }

    /** Guards against a shutdown that ends the connection of a request whose body is still arriving. */
    @Test
    void aGracefulShutdownAnswersARequestWhoseBodyIsStillArriving() throws Exception {
        String body = "{\"model\":\"" + StandinFleet.MODEL + "\",\"prompt\":\"slow body\",\"max_tokens\":3}";
        int sentBytes = body.length() / 2;
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), fleet.callerPort(0))) {
            String begin = fleet.promptHead("slow", body.length()) + body.substring(0, sentBytes);
            caller.getOutputStream().write(begin.getBytes(StandardCharsets.UTF_8));
            Future<Void> stopped = fleet.hosts.get(0).shutDown();
            fleet.awaitCondition(waiting -> refusesNewWork());
            assertFalse(stopped.isComplete());
            caller.getOutputStream().write(body.substring(sentBytes).getBytes(StandardCharsets.UTF_8));
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
            LoopbackFleet.await(stopped);
        }
    }

    private boolean refusesNewWork() {
        try (SseAnswer refused = fleet.prompt(0, "late", "a prompt during the shutdown", 1)) {
            refused.readToEnd();
            return refused.status == 503
                    && "shuttingDown".equals(refused.problem.path("kind").asText());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
