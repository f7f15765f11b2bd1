package io.figspan.control.request;

/** States of one prompt request; the chart is {@code charts/request.toml}. */
public enum RequestState {
    /** Admitted; waits for an engine or for its share of the engines. */
    QUEUED,
    /** Memory is being reserved on a group of engines. */
    RESERVING,
    /** A stream was started on an engine. */
    RUNNING,
    /** The engine failed; another one is to continue after the tokens already sent. */
    RECOVERING,
    /** The complete answer was sent. */
    FINISHED,
    /** Ended with a problem document. */
    FAILED,
    /** The caller disconnected; the engine keeps the answer for a limited time, so that any host can resume it. */
    DETACHED,
    /** The caller disconnected, and the time for a resume is over. */
    ABANDONED;

    /** Tells whether the request has ended at this host, so that its holds must be released. */
    public boolean isEnded() {
        return this == FINISHED || this == FAILED || this == ABANDONED;
    }
}
