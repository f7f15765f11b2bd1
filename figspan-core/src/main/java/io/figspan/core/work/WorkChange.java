package io.figspan.core.work;

/** Kinds of changes to a host's work at backend servers, each with the maximum delay of its report to other hosts. */
public enum WorkChange {
    /** A request was placed. Reported almost at once, because until then other hosts may choose the same server. */
    PLACED(3),
    /** The load of a server decreased. Reported later, because until then other hosts merely choose other servers. */
    LOAD_REDUCED(200);

    private final long delayMs;

    WorkChange(long delayMs) {
        this.delayMs = delayMs;
    }

    /** Returns the maximum time for which changes are batched into one report, in milliseconds. */
    public long delayMs() {
        return delayMs;
    }
}
