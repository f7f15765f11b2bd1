package io.figspan.control.leaving;

/** Events of the state chart of a backend server process. */
public enum BackendEvent {
    /** The process answered a call, or sent a load report that does not mark it as leaving. */
    ANSWERED,
    /** Connecting to the process failed. */
    CONNECT_FAILED,
    /** One of the sources in {@link LeavingSource} reports that the process is leaving. */
    LEAVING_SEEN,
    /** A newer process of the same server was seen, or the host list no longer contains the server. */
    REPLACED
}
