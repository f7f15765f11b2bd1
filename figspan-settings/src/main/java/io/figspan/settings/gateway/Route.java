package io.figspan.settings.gateway;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.util.List;

/**
 * A route: the requests that it matches, the services that they are forwarded to, and their time limits.
 *
 * @param hostName value of the Host header that the route matches, in lower case
 * @param pathPrefix path prefix that the route matches; begins and ends with a slash
 * @param timeoutMs maximum time that a request may wait
 * @param targetLatencyMs target response time; a later response is worth less
 * @param rank priority, 0 being the highest
 * @param services the services that requests are distributed to by weight
 * @param maxAttempts maximum number of backend servers that one request may be sent to
 * @param isPublic whether requests need no API key
 * @param describesPrompt whether requests carry the lengths of their prompts
 * @param isResumable whether an interrupted stream may be resumed on another backend server
 * @param maxGapMs target for the longest pause between two events of a stream; 0 if there is none
 */
public record Route(
        String name,
        String hostName,
        String pathPrefix,
        RequestKind kind,
        long timeoutMs,
        long targetLatencyMs,
        int rank,
        List<WeightedService> services,
        int maxAttempts,
        boolean isPublic,
        boolean describesPrompt,
        boolean isResumable,
        long maxGapMs) {
    /** Callers wait at least this long for the next event of a stream. */
    private static final long MIN_PATIENCE_MS = 2_000;

    private static final int TARGET_LATENCIES_OF_PATIENCE = 4;
    private static final int GAPS_OF_PATIENCE = 8;

    public Route {
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new FigspanException(
                    ProblemKind.SETTINGS_INVALID,
                    "path prefix '" + pathPrefix + "' does not begin and end with a slash",
                    Location.of("route " + name));
        }
        services = List.copyOf(services);
        maxAttempts = Math.max(1, maxAttempts);
    }

    /** Whether a request of this route that may already have run may be retried. */
    public boolean mayRepeat() {
        return kind.mayRepeat(isResumable);
    }

    /** Longest time in milliseconds for which callers wait for the next event of a stream. */
    public long patienceMs() {
        long ms = Math.max(TARGET_LATENCIES_OF_PATIENCE * targetLatencyMs, GAPS_OF_PATIENCE * maxGapMs);
        return Math.max(MIN_PATIENCE_MS, ms);
    }
}
