package io.figspan.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.standin.engine.Answers;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class StreamsTest {
    private static final int TOKENS = 40;
    private static final int GATE = 7;

    private LoopbackFleet fleet;

    @BeforeAll
    void start(@TempDir Path directory) throws Exception {
        fleet = new LoopbackFleet(directory, 2, 2, LoopbackFleet.limits(1 << 20, 30_000));
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
    }

    /** Guards against streams that are selected by the caller's request id. */
    @Test
    void twoCallersWithTheSameRequestIdGetTheirOwnAnswers() throws Exception {
        try (SseAnswer first = fleet.prompt(0, "same", "the first prompt", TOKENS);
                SseAnswer second = fleet.prompt(1, "same", "the second prompt", TOKENS)) {
            first.readToEnd();
            second.readToEnd();
            assertTrue(first.complete && second.complete);
            assertEquals(Answers.answer("the first prompt", TOKENS), first.text.toString());
            assertEquals(Answers.answer("the second prompt", TOKENS), second.text.toString());
        }
    }

    /** Guards against lost or repeated tokens when a stream goes on at a host that never saw the request. */
    @Test
    void aStreamResumesAtAnotherHostAtTheRightOffset() throws Exception {
        fleet.controlEngines("/control/gate?tokens=" + GATE);
        try (SseAnswer first = fleet.prompt(0, "resumed", "a prompt to resume", TOKENS)) {
            first.readTokens(GATE);
            String token = first.lastId;
            HttpResponse<java.io.InputStream> response = resume(1, "resumed", token);
            fleet.controlEngines("/control/gate");
            SseAnswer rest = new SseAnswer(response);
            rest.tokens = GATE;
            rest.readToEnd();
            assertTrue(rest.complete);
            assertEquals(Answers.answer("a prompt to resume", TOKENS), first.text.toString() + rest.text);
        }
    }

    /** Guards against a token of another request or organisation, or a changed one, that opens a stream. */
    @Test
    void aForeignOrAlteredTokenGetsNoByteOfAStream() throws Exception {
        try (SseAnswer answer = fleet.prompt(0, "owner", "a private prompt", TOKENS)) {
            answer.readToEnd();
            String token = answer.lastId;
            char changed = token.charAt(9) == 'A' ? 'B' : 'A';
            String altered = token.substring(0, 9) + changed + token.substring(10);
            assertRefused(resume(1, "someone-else", token));
            assertRefused(resume(1, "owner", altered));
            assertRefused(resume(1, "owner", "not a token"));
            HttpRequest foreign = HttpRequest.newBuilder(
                            LoopbackFleet.uri(fleet.callerPort(1), "/v1/completions/stream"))
                    .header("Figspan-Organisation", "brisbane")
                    .header("Figspan-Request-Id", "owner")
                    .header("Last-Event-ID", token)
                    .build();
            assertRefused(fleet.http.send(foreign, HttpResponse.BodyHandlers.ofInputStream()));
        }
    }

    /** Guards against engine memory that stays taken when a caller goes away in the middle of its answer. */
    @Test
    void anAbandonedStreamReturnsItsMemory() throws Exception {
        fleet.controlEngines("/control/gate?tokens=" + GATE);
        SseAnswer answer = fleet.prompt(0, "abandoned", "a prompt nobody waits for", TOKENS);
        answer.readTokens(GATE);
        assertNotEquals(List.of(), fleet.enginesWithHolds());
        answer.close();
        fleet.awaitNoHolds();
        fleet.controlEngines("/control/gate");
    }

    private HttpResponse<java.io.InputStream> resume(int host, String requestId, String token) throws Exception {
        HttpRequest request = fleet.request(host, "/v1/completions/stream", requestId)
                .header("Last-Event-ID", token)
                .build();
        return fleet.http.send(request, HttpResponse.BodyHandlers.ofInputStream());
    }

    private static void assertRefused(HttpResponse<java.io.InputStream> response) throws Exception {
        assertEquals(403, response.statusCode());
        SseAnswer body = new SseAnswer(response);
        body.readToEnd();
        assertEquals(0, body.tokens);
        assertEquals("tokenRefused", body.problem.path("kind").asText());
    }
}
