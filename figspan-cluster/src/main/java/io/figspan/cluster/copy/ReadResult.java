package io.figspan.cluster.copy;

/** Outcome of reading a copy from another host. */
public enum ReadResult {
    /** The copy was read and applied. */
    COMPLETE,

    /** The host did not respond in time, or with something else than a copy. */
    FAILED
}
