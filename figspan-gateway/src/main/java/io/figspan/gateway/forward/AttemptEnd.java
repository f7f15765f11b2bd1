package io.figspan.gateway.forward;

import io.figspan.policy.placing.Placer.AttemptOutcome;

/** How one sending of a request to a backend server ended, short of an answer that is passed on. */
enum AttemptEnd {
    /** The server could not be reached, so it has received nothing. */
    NOT_CONNECTED(false, AttemptOutcome.BROKEN),
    /** The server, or another one at its address, said that nothing was run. */
    TURNED_AWAY(false, AttemptOutcome.TURNED_AWAY),
    /** The server said that it has not run the request, since another one failed in its part. */
    HELPER_FAILED(false, AttemptOutcome.HELPER_FAILED),
    /** The server answered with a failure, so it may have run the request. */
    FAILED(true, AttemptOutcome.FAILED),
    /** The connection broke, or brought bytes that are no answer to the request. */
    BROKEN(true, AttemptOutcome.BROKEN),
    /** The server was silent for much longer than expected; the request was sent elsewhere. */
    SILENT(true, AttemptOutcome.BROKEN);

    private final boolean mayHaveRun;
    private final AttemptOutcome attemptOutcome;

    AttemptEnd(boolean mayHaveRun, AttemptOutcome attemptOutcome) {
        this.mayHaveRun = mayHaveRun;
        this.attemptOutcome = attemptOutcome;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    AttemptOutcome attemptOutcome() {
        return attemptOutcome;
    }
}
