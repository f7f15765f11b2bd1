package io.figspan.gateway.http;

/** State of the receiving side of a connection. It decides whether a response that ends now is complete. */
enum InputState {
    /** The server may send more, so the response itself has marked its end. */
    OPEN {
        @Override
        Completeness completenessOfResponse(RequestWrite request) {
            return Completeness.COMPLETE;
        }
    },
    /**
     * The server has shut down its sending side (half-close). A server that crashes with a part of the request unread
     * resets the connection, but may appear to shut it down while that part is still to be written.
     */
    SHUT_DOWN {
        @Override
        Completeness completenessOfResponse(RequestWrite request) {
            return switch (request) {
                case PENDING -> Completeness.UNDECIDED;
                case WRITTEN -> Completeness.COMPLETE;
                case FAILED -> Completeness.INCOMPLETE;
            };
        }
    },
    /** The connection was reset, by whichever operation that was noticed, or closed by this host. */
    LOST {
        @Override
        Completeness completenessOfResponse(RequestWrite request) {
            return Completeness.INCOMPLETE;
        }
    };

    /** Progress of writing a request to its connection. */
    enum RequestWrite {
        PENDING,
        WRITTEN,
        FAILED
    }

    /** Whether a response that has ended is whole. */
    enum Completeness {
        COMPLETE,
        /** To be decided when the request has been written or can't be. */
        UNDECIDED,
        INCOMPLETE
    }

    /**
     * Whether the response is whole if the decoder reports its end in this state. The decoder reports an end that the
     * response itself marks at once, and that of a close-delimited response when the connection ends in any way.
     */
    abstract Completeness completenessOfResponse(RequestWrite request);
}
