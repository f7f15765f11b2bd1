package io.figspan.control.leaving;

/** Events of the backend server chart. */
public enum BackendEvent {
    /** It answered a call or sent a report that does not say that it leaves. */
    ANSWERED,
    /** A call found no connection. */
    CONNECT_FAILED,
    /** Any source says that it leaves. */
    LEAVING_SEEN,
    /** A newer process of the same server was seen, or the list no longer has it. */
    REPLACED
}
