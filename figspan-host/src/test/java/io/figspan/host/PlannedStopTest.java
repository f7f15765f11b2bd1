package io.figspan.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.settings.cfg.HostConfig;
import io.figspan.standin.StandinFleet;
import io.figspan.standin.engine.Answers;
import io.vertx.core.Future;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Planned stops whose requests outlive the grace time. */
class PlannedStopTest {
    private static final int TOKENS = 40;
    private static final int GATE = 7;
    private static final int SHORT_GRACE_SECONDS = 3;
    private static final int LONG_GRACE_SECONDS = 60;
    private static final int KEEP_SECONDS = 3_600;
    private static final long SHORT_DEADLINE_MS = 20_000;
    /** Response that confirms that the host has received the head of a request. */
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    private static final long BODY_MS = 20_000;

    @TempDir
    Path directory;

    private LoopbackFleet fleet;

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    /** Guards against a stream that is cut by the kill, or that can't be resumed at another host after the stop. */
    @Test
    void aStreamThatOutlivesTheGraceTimeGetsAProblemAndResumesElsewhere() throws Exception {
        start(2, config -> config.withShutdownGraceSeconds(SHORT_GRACE_SECONDS));
        fleet.controlEngines("/control/gate?tokens=" + GATE);
        try (SseAnswer answer = fleet.prompt(0, "cut", "a prompt to resume", TOKENS, SHORT_DEADLINE_MS)) {
            answer.readTokens(GATE);
            Future<Void> stopped = fleet.hosts.get(0).shutDown();
            answer.readToEnd();
            assertNotNull(answer.problem);
            assertEquals("hostStopped", answer.problem.path("kind").asText());
            assertEquals("unknown", answer.problem.path("run").asText());
            LoopbackFleet.await(stopped);
            fleet.controlEngines("/control/gate");
            HttpRequest resume = fleet.request(1, "/v1/completions/stream", "cut")
                    .header("Last-Event-ID", answer.lastId)
                    .build();
            SseAnswer rest = new SseAnswer(fleet.http.send(resume, HttpResponse.BodyHandlers.ofInputStream()));
            rest.tokens = GATE;
            rest.readToEnd();
            assertTrue(rest.complete, () -> "problem " + rest.problem);
            assertEquals(Answers.answer("a prompt to resume", TOKENS), answer.text.toString() + rest.text);
        }
    }

    /** Guards against a request that is cut, or said to may have run, while its body is still arriving. */
    @Test
    void aBodyThatIsStillArrivingAtTheEndOfTheGraceTimeIsRefusedAsNotRun() throws Exception {
        start(1, config -> config.withShutdownGraceSeconds(SHORT_GRACE_SECONDS));
        String body = "{\"model\":\"" + StandinFleet.MODEL + "\",\"prompt\":\"slow body\",\"max_tokens\":3}";
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), fleet.callerPort(0))) {
            String head = fleet.promptHead("slow", body.length())
                    .replace("Connection: close", "Connection: close\r\nExpect: 100-continue");
            String begin = head + body.substring(0, body.length() / 2);
            caller.getOutputStream().write(begin.getBytes(StandardCharsets.UTF_8));
            byte[] accepted = caller.getInputStream().readNBytes(CONTINUE.length());
            assertEquals(CONTINUE, new String(accepted, StandardCharsets.UTF_8));
            Future<Void> stopped = fleet.hosts.get(0).shutDown();
            String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
            assertTrue(answer.contains("\"kind\":\"shuttingDown\""), answer);
            assertTrue(answer.contains("\"run\":\"notRun\""), answer);
            LoopbackFleet.await(stopped);
        }
    }

    /** Guards against a stopping host that takes what it can't end, or refuses what it can. */
    @Test
    void aStoppingHostTakesOnlyRequestsWhoseDeadlineIsBeforeTheEndOfTheGraceTime() throws Exception {
        start(1, config -> config.withShutdownGraceSeconds(LONG_GRACE_SECONDS).withKeepSeconds(KEEP_SECONDS));
        Future<Void> stopped = fleet.hosts.get(0).shutDown();
        fleet.awaitCondition(waiting -> refusesLongRequests());
        try (SseAnswer answer = fleet.prompt(0, "short", "one two three", 4, SHORT_DEADLINE_MS)) {
            answer.readToEnd();
            assertEquals(Answers.answer("one two three", 4), answer.text.toString());
            assertFalse(stopped.isComplete());
        }
    }

    private void start(int hosts, UnaryOperator<HostConfig> configuration) throws Exception {
        fleet = new LoopbackFleet(directory, hosts, 1, LoopbackFleet.limits(1 << 20, BODY_MS), configuration);
    }

    private boolean refusesLongRequests() {
        try (SseAnswer refused = fleet.prompt(0, "long", "one two three", 4)) {
            refused.readToEnd();
            return refused.status == 503
                    && "shuttingDown".equals(refused.problem.path("kind").asText())
                    && "notRun".equals(refused.problem.path("run").asText());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
