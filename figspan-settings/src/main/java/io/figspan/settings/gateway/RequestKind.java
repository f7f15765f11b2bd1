package io.figspan.settings.gateway;

/** What kind of request a route carries. It decides what may be sent to a backend server more than once. */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT(true, false),
    /** Runs at most once for each attempt of the caller. */
    NON_IDEMPOTENT(false, false),
    /** Answered by a series of events; may run again only where the stream can be resumed. */
    STREAM(false, true);

    private final boolean repeatable;
    private final boolean streaming;

    RequestKind(boolean repeatable, boolean streaming) {
        this.repeatable = repeatable;
        this.streaming = streaming;
    }

    /** Whether the answer is a series of events that are passed on as they arrive. */
    public boolean isStreaming() {
        return streaming;
    }

    /** Whether a request that may have run may be sent again. */
    public boolean mayRepeat(boolean resumable) {
        return repeatable || (streaming && resumable);
    }
}
