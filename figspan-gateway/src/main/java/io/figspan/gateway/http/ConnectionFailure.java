package io.figspan.gateway.http;

/** Reason why an exchange ended without a complete response. */
public enum ConnectionFailure {
    /** The connection could not be established, so the server has received nothing. */
    NOT_CONNECTED,
    /** The request was withdrawn before it was written, so the server has received nothing. */
    WITHDRAWN,
    /** The connection broke before the head of the response was received. */
    BROKEN_BEFORE_ANSWER,
    /** The server closed the connection within the response, as its framing shows. */
    CLOSED_IN_ANSWER,
    /** The connection was reset within the response, while it was read or while the request was still written. */
    RESET_IN_ANSWER,
    /** The server sent bytes that are no HTTP response, or a response that belongs to another request. */
    MALFORMED;

    /** Whether the server closed the connection, or is gone, without a complete response. */
    public boolean isBreak() {
        return this == BROKEN_BEFORE_ANSWER || isWithinResponse();
    }

    /** Whether a part of the response was received. */
    public boolean isWithinResponse() {
        return this == CLOSED_IN_ANSWER || this == RESET_IN_ANSWER;
    }

    /** Whether the server may have received the request. */
    public boolean requestMayHaveArrived() {
        return this != NOT_CONNECTED && this != WITHDRAWN;
    }
}
