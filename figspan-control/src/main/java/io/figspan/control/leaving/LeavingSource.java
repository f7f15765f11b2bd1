package io.figspan.control.leaving;

/** How a host learned that a backend server is leaving. */
public enum LeavingSource {
    /** The platform's host list. */
    LIST,
    /** The backend server's own load report. */
    REPORT,
    /** The head of a response of the backend server. */
    RESPONSE,
    /** The backend server refused new work because it is leaving. */
    REFUSAL,
    /** Gossip from another host. */
    GOSSIP
}
