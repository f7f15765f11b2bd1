package io.figspan.host.entry;

import io.vertx.core.http.HttpServerRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Accepted requests without a complete response, each with the action that gives it a final answer at once. */
final class RequestsInProgress {
    private final Map<HttpServerRequest, Runnable> finalAnswers = new LinkedHashMap<>();

    /** Adds a request, or replaces the action of one that is in progress. */
    void put(HttpServerRequest request, Runnable finalAnswer) {
        finalAnswers.put(request, finalAnswer);
    }

    void remove(HttpServerRequest request) {
        finalAnswers.remove(request);
    }

    int size() {
        return finalAnswers.size();
    }

    /** Gives each request its final answer. */
    void endAll() {
        List.copyOf(finalAnswers.values()).forEach(Runnable::run);
    }
}
