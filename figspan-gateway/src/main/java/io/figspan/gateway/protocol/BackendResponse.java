package io.figspan.gateway.protocol;

import java.util.Optional;

/**
 * What the head of a backend server's answer says.
 *
 * @param attemptId id of the request that it answers, or an empty string
 * @param isSigned whether it carries the server's signature, without which no caller takes a success
 * @param notExecuted whether the server says that it has not run the request and will not
 * @param wrongServer whether another server than the expected one answered; nothing was run
 * @param load how busy the server is, when it says so
 * @param faultyServer IP address and port of the server that is the reason, which may be the one that answers
 */
public record BackendResponse(
        String attemptId,
        int status,
        boolean isSigned,
        boolean notExecuted,
        boolean wrongServer,
        Optional<ServerLoad> load,
        Optional<String> faultyServer) {

    /** How busy a server is. */
    public record ServerLoad(int running, int waiting, int slots) {}

    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Whether the server has not run the request. */
    public boolean provesNotRun() {
        return notExecuted || wrongServer;
    }
}
