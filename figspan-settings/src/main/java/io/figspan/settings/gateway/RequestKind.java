package io.figspan.settings.gateway;

/** Kind of the requests on a route. Determines which requests may be sent to backend servers more than once. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT(true, false),
    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT(false, false),
    /** Answered by a stream of events; may run again only if the stream is resumable. */
    STREAM(false, true);

    private final boolean repeatable;
    private final boolean streaming;

    RequestKind(boolean repeatable, boolean streaming) {
        this.repeatable = repeatable;
        this.streaming = streaming;
    }

    /** Whether the response is a stream of events that are forwarded as they arrive. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Whether a request that may already have run may be retried. */
    public boolean mayRepeat(boolean resumable) {
        return repeatable || (streaming && resumable);
    }
}
