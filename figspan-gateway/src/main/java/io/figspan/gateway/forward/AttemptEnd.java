package io.figspan.gateway.forward;

import io.figspan.policy.placing.Placer.EndOfWork;

/** How one sending of a request to a backend server ended, short of an answer that is passed on. */
enum AttemptEnd {
    /** The server could not be reached, so it has received nothing. */
    NOT_CONNECTED(false, EndOfWork.BROKEN),
    /** The server, or another one at its address, said that nothing was run. */
    TURNED_AWAY(false, EndOfWork.TURNED_AWAY),
    /** The server said that it has not run the request, since another one failed in its part. */
    HELPER_FAILED(false, EndOfWork.HELPER_FAILED),
    /** The server answered with a failure, so it may have run the request. */
    FAILED(true, EndOfWork.FAILED),
    /** The connection broke, or brought bytes that are no answer to the request. */
    BROKEN(true, EndOfWork.BROKEN),
    /** The server was silent for much longer than expected; the request was sent elsewhere. */
    SILENT(true, EndOfWork.BROKEN);

    private final boolean mayHaveRun;
    private final EndOfWork endOfWork;

    AttemptEnd(boolean mayHaveRun, EndOfWork endOfWork) {
        this.mayHaveRun = mayHaveRun;
        this.endOfWork = endOfWork;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    EndOfWork endOfWork() {
        return endOfWork;
    }
}
