package io.figspan.gateway.protocol;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The decoded head of a backend server's response.
 *
 * @param attemptId id of the attempt that it responds to, or an empty string
 * @param isSigned whether it carries the server's signature, without which no caller accepts a success
 * @param notExecuted whether the server says that it has not run the request and will not run it
 * @param wrongServer whether another server than the expected one responded; nothing was run
 * @param load the server's load, if it reports it
 * @param requestsPerSecond the rate of requests that the server accepts from all hosts together, if it limits it
 * @param isLeaving whether the server says that it drains: it finishes its work and accepts no new requests
 * @param retryAfterMs time for which the server wants no further request from this host, if it names one
 * @param coldMs time for which the server stays cold, if it says so; 0 if it is warm
 * @param faultyServer IP address and port of the server that caused the failure; it may be the responding server
 */
public record BackendResponse(
        String attemptId,
        int status,
        boolean isSigned,
        boolean notExecuted,
        boolean wrongServer,
        Optional<ServerLoad> load,
        OptionalDouble requestsPerSecond,
        boolean isLeaving,
        OptionalLong retryAfterMs,
        OptionalLong coldMs,
        Optional<String> faultyServer) {

    /** Load of a server, in requests. */
    public record ServerLoad(int running, int waiting, int slots) {}

    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Whether the response proves that the request was not run. */
    public boolean provesNotRun() {
        return notExecuted || wrongServer;
    }
}
