package io.figspan.policy.placing;

/**
 * What an organisation has of the engines' work while organisations with less wait.
 *
 * @param overuse its work relative to an equal share; above 1 when it has more than its share
 * @param jobsWaitingWithLess queued jobs of organisations that have less work at the engines
 * @param slotsAwaited how many of these jobs found no free slot; the others wait for memory or for prefill
 */
record FairShare(double overuse, int jobsWaitingWithLess, int slotsAwaited) {
    /** Without a limit: no organisation with less work waits. */
    static final FairShare UNLIMITED = new FairShare(0, 0, 0);

    boolean isExceeded() {
        return overuse > 1 && jobsWaitingWithLess > 0;
    }

    /** Returns the factor by which a request counts less than those of organisations within their share. */
    double penalty() {
        return isExceeded() ? overuse : 1;
    }
}
