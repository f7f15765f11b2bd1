package io.figspan.gateway.caller;

import io.figspan.core.error.Problem;
import io.figspan.core.error.ProblemKind;
import io.figspan.gateway.forward.ProblemResponses;
import io.figspan.gateway.http.MeteredHeadersFactory;
import io.figspan.gateway.protocol.CallerRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;

/** The responses to requests that are refused before they have arrived completely. */
final class Refusals {
    /** Retry-After when the memory for heads or bodies is full. */
    private static final long MEMORY_RETRY_MS = 500;

    /** Retry-After for callers that need a new connection. */
    private static final long NEW_CONNECTION_RETRY_MS = 20;

    private final CallerServer server;
    private final int maxHeaderBytes;

    /**
     * Creates the refusals for one connection.
     *
     * @param maxHeaderBytes limit for heads under which the connection was accepted
     */
    Refusals(CallerServer server, int maxHeaderBytes) {
        this.server = server;
        this.maxHeaderBytes = maxHeaderBytes;
    }

    /** The refusal of a body that exceeds the limit under which its request began. */
    FullHttpResponse bodyTooLong(int maxBodyBytes) {
        return ProblemResponses.of(server.unlessOutdated(
                Problem.notRun(ProblemKind.BODY_TOO_LARGE, "the body has more than " + maxBodyBytes + " bytes")));
    }

    /** The refusal of a body that would exceed the memory limit of all bodies. */
    FullHttpResponse bodyMemoryFull() {
        return ProblemResponses.of(
                Problem.notRun(ProblemKind.OVERLOADED, "the bodies of requests in progress fill the memory")
                        .withRetryAfterMs(Math.max(MEMORY_RETRY_MS, server.startupWaitMs(System.nanoTime()))));
    }

    /** The refusal of a request whose head would exceed the memory limit of all heads. */
    FullHttpResponse headMemoryFull() {
        return ProblemResponses.of(
                Problem.notRun(ProblemKind.OVERLOADED, "the heads of requests in progress fill the memory")
                        .withRetryAfterMs(MEMORY_RETRY_MS));
    }

    /** The refusal of a message that could not be decoded. */
    FullHttpResponse malformed(Throwable cause) {
        if (cause instanceof MeteredHeadersFactory.NoRoomException) {
            return headMemoryFull();
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return tooLong(cause, HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        if (cause instanceof TooLongHttpLineException) {
            return tooLong(cause, HttpResponseStatus.REQUEST_URI_TOO_LONG);
        }
        return ProblemResponses.of(Problem.notRun(ProblemKind.INVALID_VALUE, cause.getMessage()));
    }

    private FullHttpResponse tooLong(Throwable cause, HttpResponseStatus status) {
        if (server.limits().maxHeaderBytes() > maxHeaderBytes) {
            return ProblemResponses.of(
                    Problem.notRun(ProblemKind.SETTINGS_NOT_READ, "the connection was accepted under a lower limit")
                            .withRetryAfterMs(NEW_CONNECTION_RETRY_MS));
        }
        return invalid(cause.getMessage(), status);
    }

    /** The refusal of a request that did not arrive in time. */
    FullHttpResponse timedOut(ReceiveTimeouts.Timeout timeout) {
        String part = timeout == ReceiveTimeouts.Timeout.BODY ? "body" : "headers";
        return invalid("the " + part + " did not arrive in time", HttpResponseStatus.REQUEST_TIMEOUT);
    }

    /** The refusal of a request whose body is still arriving, if it can't end before this host stops. */
    Optional<FullHttpResponse> outOfTime(CallerRequest request, long nowNanos) {
        return refusalOfIncomplete(request, nowNanos).map(ProblemResponses::of);
    }

    private Optional<Problem> refusalOfIncomplete(CallerRequest request, long nowNanos) {
        try {
            return server.refusalOfIncomplete(request, nowNanos);
        } catch (RuntimeException e) {
            server.errors().report(e);
            return Optional.empty();
        }
    }

    /** The refusal of a request that has not arrived completely when this host stops. */
    FullHttpResponse shutdown() {
        return ProblemResponses.of(server.shutdownRefusal());
    }

    private static FullHttpResponse invalid(String reason, HttpResponseStatus status) {
        FullHttpResponse response = ProblemResponses.of(Problem.notRun(ProblemKind.INVALID_VALUE, reason));
        response.setStatus(status);
        return response;
    }
}
