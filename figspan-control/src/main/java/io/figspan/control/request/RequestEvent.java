package io.figspan.control.request;

/** Events of the state chart of a prompt request. */
public enum RequestEvent {
    /** The prompt needs a group of engines. */
    RESERVE,
    /** A stream is about to be started on an engine, or resumed at this host. */
    START,
    /** The engine failed, and another one can continue in the remaining time. */
    ENGINE_LOST,
    /** The last part of the answer was sent. */
    COMPLETE,
    /** The request fails: no engine is available, the deadline passed or recovery is impossible. */
    FAIL,
    /** The engine refused the start call and ran nothing. */
    REFUSED,
    /** The caller closed its connection. */
    CALLER_GONE,
    /** The time in which a detached answer can be resumed is over. */
    RESUME_OVER
}
