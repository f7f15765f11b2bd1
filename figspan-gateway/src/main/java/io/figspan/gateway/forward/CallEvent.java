package io.figspan.gateway.forward;

/** Events of a request; the chart is {@code charts/forward-call.toml}. */
enum CallEvent {
    /** A place was found that needs memory at several engines. */
    PLACED,
    /** The request was sent to a backend server. */
    SENT,
    /** The first piece of a stream was passed on. */
    ANSWER_BEGAN,
    /** The sending, or the holding of memory, ended without an answer, and another place is looked for. */
    FAILED,
    /** The caller has its final answer, or has left. */
    ENDED
}
