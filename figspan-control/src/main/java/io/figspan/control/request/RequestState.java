package io.figspan.control.request;

/** States of one prompt request; the chart is {@code charts/request.toml}. */
public enum RequestState {
    /** Admitted; waits for an engine or its share. */
    QUEUED,
    /** Memory on a group of engines is being reserved. */
    RESERVING,
    /** An engine works on it. */
    RUNNING,
    /** The engine was lost; another one continues from the tokens already sent. */
    RECOVERING,
    /** The complete answer was sent. */
    FINISHED,
    /** Ended with a problem document. */
    FAILED,
    /** The caller went away; the engine keeps the answer for a while, for a resume at any host. */
    DETACHED,
    /** The caller went away, and the time for a resume is over. */
    ABANDONED;

    /** Tells whether the request has ended at this host, so that its holds must be released. */
    public boolean isEnded() {
        return this == FINISHED || this == FAILED || this == ABANDONED;
    }
}
