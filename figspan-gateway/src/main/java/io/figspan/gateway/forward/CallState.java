package io.figspan.gateway.forward;

/** States of a {@link ForwardCall}. The transitions are defined in {@code charts/forward-call.toml}. */
enum CallState {
    WAITING,
    RESERVING,
    SENT,
    ANSWERING,
    RESUMING,
    DONE
}
