package io.figspan.core.work;

/** What has changed in a host's work at backend servers, and how soon the other hosts must hear of it. */
public enum WorkChange {
    /** Work was placed: until others know, they may place at the same server. */
    PLACED(3),
    /** A server has less to do than before: others that don't know yet only place elsewhere. */
    LOAD_REDUCED(200);

    private final long delayMs;

    WorkChange(long delayMs) {
        this.delayMs = delayMs;
    }

    /** Time within which changes are gathered into one report, in milliseconds. */
    public long delayMs() {
        return delayMs;
    }
}
