package io.figspan.gateway.forward;

/** States of a request; the chart is {@code charts/forward-call.toml}. */
enum CallState {
    WAITING,
    RESERVING,
    SENT,
    ANSWERING,
    RESUMING,
    DONE
}
