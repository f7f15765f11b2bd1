package io.figspan.cli.caller;

import io.vertx.core.http.RequestOptions;
import java.util.Map;
import java.util.TreeMap;

/** Headers of a caller's request. */
record CallHead(Map<String, String> headers) {
    static final CallHead NONE = new CallHead(Map.of());

    CallHead {
        headers = Map.copyOf(headers);
    }

    /** Headers that name the organisation, the service and the request. */
    static CallHead of(String organisation, String service, String requestId, long deadlineMs) {
        Map<String, String> headers = new TreeMap<>();
        headers.put("Figspan-Organisation", organisation);
        headers.put("Figspan-Service", service);
        headers.put("Figspan-Request-Id", requestId);
        headers.put("Figspan-Deadline-Ms", Long.toString(deadlineMs));
        return new CallHead(headers);
    }

    CallHead with(String name, String value) {
        Map<String, String> more = new TreeMap<>(headers);
        more.put(name, value);
        return new CallHead(more);
    }

    void addTo(RequestOptions options) {
        headers.forEach(options::putHeader);
    }
}
