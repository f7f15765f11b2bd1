package io.figspan.settings.gateway;

import io.figspan.core.error.FigspanException;
import io.figspan.core.error.Location;
import io.figspan.core.error.ProblemKind;
import java.util.List;

/**
 * One route: which requests it takes, where they go and how long they may take.
 *
 * @param hostName the Host header that it belongs to, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMs longest time that a request is kept waiting
 * @param targetLatencyMs time within which an answer is worth the most
 * @param rank urgency, 0 first
 * @param services where requests go, by weight
 * @param maxAttempts most backend servers to which one request may be sent
 * @param isPublic whether a request needs no key
 * @param describesPrompt whether requests carry the lengths of their prompts
 * @param isResumable whether a broken stream may go on at another backend server
 * @param maxGapMs longest pause between events with which a stream is still on time; 0 when there is none
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

    /** Whether a request of this route that may have run may be sent again. */
    public boolean mayRepeat() {
        return kind.mayRepeat(isResumable);
    }
}
