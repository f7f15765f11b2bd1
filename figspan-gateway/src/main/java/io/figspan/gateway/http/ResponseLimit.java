package io.figspan.gateway.http;

/**
 * Bounds what buffered responses of one kind hold, since faulty servers may send without end. A response that exceeds a
 * bound fails, and its connection is closed.
 *
 * @param maxBytes maximum length of the body of one response, compressed or not
 * @param total budget of all responses of this kind that are received at the same time
 */
public record ResponseLimit(int maxBytes, ByteBudget total) {
    public ResponseLimit {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("the maximum length of " + maxBytes + " bytes is not positive");
        }
    }

    /** A limit with a budget of its own. */
    public static ResponseLimit of(int maxBytes, long maxTotalBytes) {
        return new ResponseLimit(maxBytes, new ByteBudget(maxTotalBytes));
    }
}
