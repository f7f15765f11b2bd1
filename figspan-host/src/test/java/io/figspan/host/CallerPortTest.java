package io.figspan.host;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.figspan.standin.StandinFleet;
import io.figspan.standin.engine.Answers;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerPortTest {
    private static final int BODY_BYTES = 50_000;
    private static final long BODY_MS = 300;
    /** Many times what the burst of 10,000 tokens of the small organisation holds, at 4,097 tokens each. */
    private static final int REFUSED_PROMPTS = 50;

    private static final int READ_TIMEOUT_MS = 60_000;

    private LoopbackFleet fleet;

    @BeforeAll
    void start(@TempDir Path directory) throws Exception {
        fleet = new LoopbackFleet(directory, 1, 1, LoopbackFleet.limits(BODY_BYTES, BODY_MS));
    }

    @AfterAll
    void stop() throws Exception {
        fleet.close();
    }

    /** Guards against a caller that exhausts a host's memory with one body. */
    @Test
    void anOversizedBodyGetsAProblemThatSaysNothingRan() throws Exception {
        HttpResponse<String> response = post("{\"prompt\":\"" + "x".repeat(BODY_BYTES) + "\"}");
        assertEquals(413, response.statusCode());
        assertTrue(response.body().contains("\"run\":\"notRun\""), response.body());
        assertStillServes();
    }

    /** Guards against an exception on the event loop in place of an answer. */
    @Test
    void malformedJsonGetsAProblemDocument() throws Exception {
        for (String body : new String[] {"{\"prompt\":", "[]", "null", "", "{\"prompt\":7,\"max_tokens\":\"x\"}"}) {
            HttpResponse<String> response = post(body);
            assertEquals(400, response.statusCode(), body);
            assertEquals(
                    "application/problem+json",
                    response.headers().firstValue("Content-Type").orElse(""));
        }
        assertStillServes();
    }

    /** Guards against a host that hangs on, or runs, a body that is shorter than its declared length. */
    @Test
    void aBodyShorterThanDeclaredIsNotRun() throws Exception {
        String answer = sendRaw("Content-Length: 400", "{\"prompt\":\"abc\"}", true);
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 400"), answer);
        assertStillServes();
    }

    /** Guards against a caller that keeps connections busy by sending a byte now and then. */
    @Test
    void aSlowSenderIsCutOff() throws Exception {
        String answer = sendRaw("Content-Length: 400", "{\"prompt\":", false);
        assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
        assertTrue(answer.contains("was not complete after " + BODY_MS), answer);
        assertStillServes();
    }

    /** Guards against the rest of a longer body being taken for a request of its own that is run. */
    @Test
    void aBodyLongerThanDeclaredDoesNotStartASecondPrompt() throws Exception {
        long before = received();
        String answer = sendRaw("Content-Length: 5\r\nConnection: close", "{\"pr\"xyz POST /v1/completions", true);
        assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
        assertEquals(before, received());
        assertStillServes();
    }

    /** Guards against work for callers that are not in the settings. */
    @Test
    void anUnknownOrganisationIsRefused() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(LoopbackFleet.uri(fleet.callerPort(0), "/v1/completions"))
                .header("Figspan-Organisation", "nobody")
                .POST(HttpRequest.BodyPublishers.ofString("{\"prompt\":\"abc\"}"))
                .build();
        HttpResponse<String> response = fleet.http.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(401, response.statusCode());
    }

    /** Guards against an organisation that is charged for prompts of which nothing was run. */
    @Test
    void aRefusedPromptDoesNotUseUpTheLimit() throws Exception {
        String body = "{\"prompt\":\"abc\",\"max_tokens\":4096}";
        for (int i = 0; i < REFUSED_PROMPTS; i++) {
            HttpRequest request = fleet.request(0, "/v1/completions", "refused")
                    .setHeader("Figspan-Organisation", StandinFleet.SMALL_ORGANISATION)
                    .setHeader("Figspan-Deadline-Ms", "1")
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            String answer = fleet.http
                    .send(request, HttpResponse.BodyHandlers.ofString())
                    .body();
            assertFalse(answer.contains("limitReached"), answer);
        }
        assertStillServes();
    }

    private HttpResponse<String> post(String body) throws IOException, InterruptedException {
        HttpRequest request = fleet.request(0, "/v1/completions", "limits")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return fleet.http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request byte by byte as given and reads to the end of the connection. */
    private String sendRaw(String headers, String body, boolean endOfInput) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fleet.callerPort(0))) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            OutputStream out = socket.getOutputStream();
            String head = "POST /v1/completions HTTP/1.1\r\nHost: test\r\nFigspan-Organisation: "
                    + LoopbackFleet.ORGANISATION + "\r\n" + headers + "\r\n\r\n";
            out.write((head + body).getBytes(StandardCharsets.US_ASCII));
            out.flush();
            if (endOfInput) {
                socket.shutdownOutput();
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private long received() {
        return fleet.hosts
                .get(0)
                .context()
                .metrics()
                .counter("prompts.received")
                .getCount();
    }

    private void assertStillServes() throws Exception {
        try (SseAnswer answer = fleet.prompt(0, "still-serves", "one two three", 4)) {
            answer.readToEnd();
            assertEquals(Answers.answer("one two three", 4), answer.text.toString());
        }
    }
}
