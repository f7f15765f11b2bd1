package io.figspan.gateway.forward;

/** Events of a {@link ForwardCall}. The transitions are defined in {@code charts/forward-call.toml}. */
enum CallEvent {
    /** A placement was found that needs memory at several engines. */
    PLACED,
    /** The request was sent to a backend server. */
    SENT,
    /** The first event of a streamed response was forwarded. */
    ANSWER_BEGAN,
    /** The attempt or the reservation of memory failed, and the request is queued for another placement. */
    FAILED,
    /** The caller has received its final response or has disconnected. */
    ENDED
}
