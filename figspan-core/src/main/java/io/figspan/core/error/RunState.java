package io.figspan.core.error;

/** Whether a request was run, as reported to its caller. */
public enum RunState {
    /** No part of the request was run, and it never will be. */
    NOT_RUN("notRun"),
    /** The request was run. */
    RAN("ran"),
    /** The request may or may not have been run. */
    UNKNOWN("unknown");

    private final String wireName;

    RunState(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name used in problem documents. */
    public String wireName() {
        return wireName;
    }
}
