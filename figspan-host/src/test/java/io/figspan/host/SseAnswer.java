package io.figspan.host;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/** Reads a caller's answer event by event. */
final class SseAnswer implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    final int status;
    final StringBuilder text = new StringBuilder();
    String lastId = "";
    int tokens;
    boolean complete;
    JsonNode problem;
    private final BufferedReader lines;

    SseAnswer(HttpResponse<InputStream> response) {
        this.status = response.statusCode();
        this.lines = new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
    }

    /** Reads until this many tokens have arrived in all, or to the end. */
    SseAnswer readTokens(int count) throws IOException {
        while (tokens < count && readLine()) {
            // Each line changes the state of this answer.
        }
        return this;
    }

    SseAnswer readToEnd() throws IOException {
        return readTokens(Integer.MAX_VALUE);
    }

    private boolean readLine() throws IOException {
        String line = lines.readLine();
        if (line == null) {
            return false;
        }
        if (line.startsWith("id: ")) {
            lastId = line.substring("id: ".length());
        } else if (line.startsWith("{")) {
            problem = MAPPER.readTree(line);
        } else if (line.startsWith("data: {")) {
            accept(MAPPER.readTree(line.substring("data: ".length())));
        }
        return !complete;
    }

    private void accept(JsonNode data) {
        if (data.has("kind")) {
            problem = data;
            return;
        }
        JsonNode choice = data.path("choices").path(0);
        if (choice.hasNonNull("finish_reason")) {
            complete = true;
            return;
        }
        if (data.path("offset").asInt() != tokens) {
            throw new IllegalStateException("offset " + data.path("offset") + " in place of " + tokens);
        }
        tokens++;
        text.append(choice.path("text").asText());
    }

    @Override
    public void close() throws IOException {
        lines.close();
    }
}
