package io.figspan.gateway.forward;

import io.figspan.policy.placing.Placer.EndOfWork;

/** Reason why an attempt ended without a response that is forwarded to the caller. */
enum AttemptEnd {
    /** The server was unreachable, so it has received nothing. */
    NOT_CONNECTED(false, EndOfWork.BROKEN),
    /** The server, or another one at its address, stated that it did not run the request. */
    TURNED_AWAY(false, EndOfWork.TURNED_AWAY),
    /** The server stated that it did not run the request because a helper engine failed. */
    HELPER_FAILED(false, EndOfWork.HELPER_FAILED),
    /** The server responded with an error, so it may have run the request. */
    FAILED(true, EndOfWork.FAILED),
    /** The connection broke, or its bytes are not a response to the request. */
    BROKEN(true, EndOfWork.BROKEN),
    /** The server sent nothing for much longer than expected; the request was sent to another server. */
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
