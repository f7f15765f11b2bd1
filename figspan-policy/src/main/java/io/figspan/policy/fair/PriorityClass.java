package io.figspan.policy.fair;

/** Priority classes of requests, most urgent first. */
public enum PriorityClass {
    INTERACTIVE(0),
    STANDARD(1),
    BATCH(2);

    private final int level;

    PriorityClass(int level) {
        this.level = level;
    }

    /** Numeric priority; 0 is the most urgent. */
    public int level() {
        return level;
    }
}
