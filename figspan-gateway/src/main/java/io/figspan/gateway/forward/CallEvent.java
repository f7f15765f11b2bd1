package io.figspan.gateway.forward;

/** Events of a {@link ForwardCall}. The transitions are defined in {@code charts/forward-call.toml}. */
enum CallEvent {
    /** A placement was found that needs memory at several engines. */
    PLACED,
    /** The request was sent to a backend server. */
    SENT,
    /** The first event of a streamed response was forwarded. */
    ANSWER_BEGAN,
    /** The attempt or the reservation of memory failed, or the server is silent: another placement is needed. */
    FAILED,
    /** A silent server responds again, or no other one can get the request: only the earlier attempt goes on. */
    FELL_BACK,
    /** The caller has received its final response or has disconnected. */
    ENDED
}
