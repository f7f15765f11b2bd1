package io.figspan.control.request;

/** Events of the request chart. */
public enum RequestEvent {
    /** The prompt needs a group of engines. */
    RESERVE,
    /** The stream of an engine begins. */
    START,
    /** The engine was lost, and the remaining time allows another one. */
    ENGINE_LOST,
    /** The last part of the answer was sent. */
    COMPLETE,
    /** A problem ends the request: no engine, deadline passed, recovery impossible. */
    FAIL,
    /** The engine refused the stream and ran nothing. */
    REFUSED,
    /** The caller closed its connection. */
    CALLER_GONE,
    /** Nobody came back to a kept answer in time. */
    RESUME_OVER
}
