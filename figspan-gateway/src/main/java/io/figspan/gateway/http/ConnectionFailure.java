package io.figspan.gateway.http;

/** How an exchange ended without a complete answer. */
public enum ConnectionFailure {
    /** The connection could not be made, so the other side has received nothing. */
    NOT_CONNECTED,
    /** The connection broke before an answer began. */
    BROKEN_BEFORE_ANSWER,
    /** The connection broke or was closed within the answer. */
    BROKEN_IN_ANSWER,
    /** The other side sent bytes that are no answer, or an answer that belongs to something else. */
    MALFORMED;

    /** Whether the other side may have received the request. */
    public boolean requestMayHaveArrived() {
        return this != NOT_CONNECTED;
    }
}
